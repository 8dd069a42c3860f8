"""Exchange of suspected requests among the hosts of a cluster."""

from collections.abc import Collection
from random import Random

import anyio
import structlog

from cranberryfield.core.clock import Clock
from cranberryfield.core.errors import CranberryfieldError
from cranberryfield.core.ids import NodeId
from cranberryfield.core.mesh import ControlHostNames, Mesh
from cranberryfield.core.messages.links import Hello
from cranberryfield.core.messages.quarantine import CompareSuspects, SuspectReport
from cranberryfield.entry.quarantine.prompt_parts import (
    crashing_part,
    part_crashes,
    record_settled_run,
)
from cranberryfield.entry.quarantine.reports import (
    answer_comparison,
    digest_suspects,
    make_full_report,
    make_report,
    merge_report,
)
from cranberryfield.entry.quarantine.section import (
    Crash,
    QuarantineSection,
    completed_recently,
    count_crashes,
    forget_expired,
    record_completion,
    record_crash,
)

__all__ = ["SuspectExchange"]

MS_PER_S = 1000
#: Time for which changes are collected into one report, in seconds.
BATCH_DELAY_S = 0.02
#: Interval between two comparisons with a control host, in seconds.
COMPARE_INTERVAL_S = 1.0
COMPARE_TIMEOUT_S = 0.5
FORGET_INTERVAL_S = 5.0
CONTROL_ROLE = "control"

logger = structlog.get_logger(__name__)


class SuspectExchange:
    """Keeps the suspected requests of all hosts of a cluster the same.

    Changes go to the control hosts at once, and control hosts pass on what is new
    to them. Each host also compares its suspects with a control host periodically
    and when a link to one opens, which repairs lost messages and brings hosts that
    restart up to date. No request waits for a message.

    Parameters
    ----------
    section : QuarantineSection
        Suspects known to this host; owned by this object.
    mesh : Mesh
        Links to other processes.
    names : ControlHostNames
        Names of the control hosts.
    clock : Clock
        Monotonic time.
    rng : random.Random
        Selects the control host to compare with.
    """

    def __init__(
        self,
        section: QuarantineSection,
        mesh: Mesh,
        names: ControlHostNames,
        clock: Clock,
        rng: Random,
    ):
        self._section = section
        self._mesh = mesh
        self._names = names
        self._clock = clock
        self._rng = rng
        self._is_control = CONTROL_ROLE in mesh.hello.roles
        self._changed: set[bytes] = set()
        self._refused_parts: set[bytes] = set()
        self._has_changes = anyio.Event()
        self._compare_now = anyio.Event()
        mesh.handle(SuspectReport, self._on_report)
        mesh.handle(CompareSuspects, self._on_compare)
        mesh.watch_links(self._on_link)

    def report_crash(self, fingerprint: bytes, crash: Crash) -> None:
        """Record a request that was in flight in a crash and tell the other hosts."""
        if completed_recently(self._section, fingerprint, self._clock()):
            return
        if record_crash(self._section, fingerprint, crash):
            self._log_crash(fingerprint, crash, self._mesh.hello.node)
            self._enqueue(fingerprint)

    def report_completion(self, fingerprint: bytes) -> None:
        """Record that a request ran to its end, and tell the others if suspected."""
        if record_completion(self._section, fingerprint, self._clock()):
            logger.info("request no longer suspected", fingerprint=fingerprint.hex())
            self._enqueue(fingerprint)

    def report_settled_run(self, parts: Collection[bytes], began_at: float) -> None:
        """Record that a run got beyond its beginning, and tell others if it matters.

        Parameters
        ----------
        parts : collection of bytes
            Digests of the prompt parts of its request.
        began_at : float
            Monotonic time in seconds at which its answer began.
        """
        for part in record_settled_run(self._section, parts, began_at, self._clock()):
            self._enqueue(part)
            self._log_part(part)

    async def run(self) -> None:
        """Exchange suspects until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_loop)
            tasks.start_soon(self._compare_loop)
            tasks.start_soon(self._forget_loop)

    def _log_crash(self, fingerprint: bytes, crash: Crash, told_by: NodeId) -> None:
        logger.info(
            "request suspected",
            fingerprint=fingerprint.hex(),
            upstream=crash.upstream,
            incarnation=crash.incarnation,
            had_answered=crash.had_answered,
            crash_count=count_crashes(self._section, fingerprint),
            told_by=told_by,
            age_ms=int((self._clock() - crash.at) * MS_PER_S),
            prompt_parts=[part.hex() for part in crash.prompt_parts],
        )
        for part in crash.prompt_parts:
            self._log_part(part)

    def _log_part(self, part: bytes) -> None:
        """Log that requests with a prompt part are refused from now on, or no more."""
        is_refused = crashing_part(self._section, [part], self._clock()) is not None
        if is_refused == (part in self._refused_parts):
            return
        self._refused_parts ^= {part}
        logger.info(
            "prompt part refused" if is_refused else "prompt part no longer refused",
            prompt_part=part.hex(),
            crash_count=len(part_crashes(self._section, part)),
        )

    def _enqueue(self, fingerprint: bytes) -> None:
        self._changed.add(fingerprint)
        self._has_changes.set()

    async def _send_loop(self) -> None:
        while True:
            await self._has_changes.wait()
            await anyio.sleep(BATCH_DELAY_S)
            self._has_changes = anyio.Event()
            changed, self._changed = self._changed, set()
            report = make_report(self._section, changed, self._clock())
            for node in self._receivers():
                self._mesh.send(node, report)

    def _receivers(self) -> list[NodeId]:
        return [
            peer.node
            for peer in self._mesh.peers
            if self._is_control or CONTROL_ROLE in peer.roles
        ]

    async def _compare_loop(self) -> None:
        while True:
            with anyio.move_on_after(COMPARE_INTERVAL_S):
                await self._compare_now.wait()
            self._compare_now = anyio.Event()
            own = self._mesh.hello.node
            linked = [
                one
                for one in self._names.known()
                if one != own and self._mesh.is_linked(one)
            ]
            if linked:
                await self._compare_with(self._rng.choice(linked))

    async def _compare_with(self, node: NodeId) -> None:
        message = CompareSuspects(digest_suspects(self._section))
        try:
            report = await self._mesh.request(node, message, COMPARE_TIMEOUT_S)
        except CranberryfieldError as error:
            logger.debug("comparing suspects failed", host=node, detail=error.detail)
            return
        self._on_report(node, report)
        if report.digest != digest_suspects(self._section):
            self._mesh.send(node, make_full_report(self._section, self._clock()))

    def _on_compare(self, sender: NodeId, message: CompareSuspects) -> SuspectReport:
        return answer_comparison(self._section, message.digest, self._clock())

    def _on_report(self, sender: NodeId, report: SuspectReport) -> None:
        merged = merge_report(self._section, report, self._clock())
        for fingerprint, crash in merged.crashes:
            self._log_crash(fingerprint, crash, sender)
        for key in merged.cleared:
            self._log_part(key)
        if self._is_control:
            for fingerprint in [*merged.cleared, *dict(merged.crashes)]:
                self._enqueue(fingerprint)

    def _on_link(self, peer: Hello, is_open: bool) -> None:
        if is_open and CONTROL_ROLE in peer.roles:
            self._compare_now.set()

    async def _forget_loop(self) -> None:
        while True:
            await anyio.sleep(FORGET_INTERVAL_S)
            forget_expired(self._section, self._clock())
            for part in list(self._refused_parts):
                self._log_part(part)
