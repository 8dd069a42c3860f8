"""A small deployment of the project's own programs on loopback addresses.

The commands and the settings template are those of ``deploy/system.toml``. Clients,
runners and the operator are stand-ins that run in the process of the case.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
HEARTBEAT_S = 1.2
BOUNDS = {
    "contact_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 8,
    "config_apply_ms": 2000,
    "strict_revoke": True,
    "revoke_ms": 5000,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 54,
    "quota_window_s": 8,
    "quota_overage": 0.1,
    "quota_tolerance": 140000,
    "fencing_enforced": True,
    "lease_ms": 3000,
    "usage_window_s": 5,
    "usage_late_s": 10,
}
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOSTNAME = "ficu95.example"
KEY = "i9n73hh2b9wu3fexd9dn"
TENANT = "hule930"


def has_trouble() -> bool:
    """Return whether the disruption is to be injected."""
    return os.environ.get("TROUBLE", "1") != "0"


def render(template: str, fields: dict) -> str:
    """Fill in a settings template as the platform does; see ``DEPLOY.md``."""

    def find(name: str):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = (value or {}).get(part)
        return value

    def section(match: re.Match) -> str:
        return render(match[2], fields) if find(match[1]) not in (None, False) else ""

    def placeholder(match: re.Match) -> str:
        value = find(match[1])
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(
        r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, template, flags=re.S
    )
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", placeholder, text)


class Host:
    """One machine with one process of the project.

    Parameters
    ----------
    deployment : Deployment
        Deployment that it belongs to.
    name : str
        Name of the machine.
    ip : str
        Its loopback address.
    role : str
        Role of the deploy file.
    zone : str
        Zone of the machine.
    """

    def __init__(self, deployment, name: str, ip: str, role: str, zone: str):
        self._deployment = deployment
        self.name = name
        self.ip = ip
        self.role = role
        self.zone = zone
        self.process: subprocess.Popen | None = None

    def _fields(self, is_first_start: bool) -> dict:
        ports = self._deployment.ports
        is_edge = self.role == "relay"
        listen = (
            {
                "front": f"{self.ip}:{ports['front']}",
                "ready": f"{self.ip}:{ports['ready']}",
            }
            if is_edge
            else {"control": f"{self.ip}:{ports['control']}"}
        )
        return {
            "node_name": self.name,
            "zone": self.zone,
            "region": "prairie",
            "ip": self.ip,
            "port_range": [ports["mesh"], ports["mesh"] + 15],
            "seeds": [
                f"{one.ip}:{ports['control']}" for one in self._deployment.cores[:3]
            ],
            "bootstrap": is_first_start,
            "listen": listen,
            "data_dir": None if is_edge else str(self._deployment.folder / self.name),
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "limits": {"memory_mb": 300 if is_edge else 296, "max_fds": 4096},
            "bounds": BOUNDS,
        }

    def start(self, is_first_start: bool = False) -> None:
        """Start the process with the command and the template of the deploy file."""
        role = self._deployment.roles[self.role]
        template = (ROOT / role["template"]).read_text()
        settings = self._deployment.folder / f"{self.name}.settings"
        settings.write_text(render(template, self._fields(is_first_start)))
        if self.role == "control":
            (self._deployment.folder / self.name).mkdir(exist_ok=True)
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["CRANBERRYFIELD_CONFIG"] = str(settings)
        with open(self._deployment.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Deployment:
    """Machines of a small deployment.

    Parameters
    ----------
    record : Record
        Takes what happens to the machines.
    edges, cores : int
        Numbers of machines of each class.
    """

    def __init__(self, record, edges: int = 2, cores: int = 5):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        # Of this process alone: 127.0.0.0/8 is loopback.
        high, low = divmod(os.getpid() % 60_000, 240)
        self._net = f"127.{high + 1}.{low + 1}"
        self.ports = {
            name: port
            for name, port in zip(
                ("front", "ready", "control", "mesh"),
                (8221, 8224, 8229, 7600),
                strict=True,
            )
        }
        zones = ("regina-a", "saskatoon-b", "brandon-c", "lethbridge-d")
        self.cores = [
            Host(self, f"core-{n}", f"{self._net}.{n}", "control", zones[n % 4])
            for n in range(1, cores + 1)
        ]
        self.edges = [
            Host(self, f"edge-{n}", f"{self._net}.{100 + n}", "relay", zones[n % 4])
            for n in range(1, edges + 1)
        ]

    @property
    def hosts(self) -> list[Host]:
        """All machines."""
        return self.cores + self.edges

    def address(self, number: int) -> str:
        """Return a loopback address for a stand-in."""
        return f"{self._net}.{200 + number}"

    def start(self) -> None:
        """Start all machines for the first time."""
        for host in self.hosts:
            host.start(is_first_start=True)

    def stop(self) -> None:
        """End all processes and remove their files."""
        for host in self.hosts:
            host.send_signal(signal.SIGCONT)
            host.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def control(self, core: Host, method: str, path: str, content=None) -> int:
        """Call the control interface of a machine; return the status, 0 for none."""
        body = b"" if content is None else json.dumps(content).encode()
        head = [("Host", core.ip), ("Content-Type", "application/json")]
        status, _, _ = await call(
            core.ip, self.ports["control"], method, path, head, body, timeout_s=1.0
        )
        return status

    async def request(
        self,
        edge: Host,
        path: str,
        headers: dict,
        body: bytes = b"x",
        timeout_s: float = 3.0,
    ) -> tuple[int, dict, bytes]:
        """Send a client's request to a machine on a new connection."""
        head = [("Host", HOSTNAME), *headers.items()]
        return await call(
            edge.ip, self.ports["front"], "POST", path, head, body, timeout_s
        )

    async def is_ready(self, edge: Host) -> bool:
        """Return whether a machine answers the platform's check with 200."""
        head = [("Host", edge.ip)]
        status, _, _ = await call(
            edge.ip, self.ports["ready"], "GET", "/readyz", head, b""
        )
        return status == 200

    async def begin(self, configuration: dict) -> None:
        """Start all machines and send the first configuration until all are ready."""
        self.start()

        async def is_acknowledged() -> bool:
            core = random.choice(self.cores)
            return (
                await self.control(core, "POST", "/Config.Replace", configuration)
                == 200
            )

        await wait_until(is_acknowledged, "the first configuration is acknowledged")

        async def are_ready() -> bool:
            return all([await self.is_ready(edge) for edge in self.edges])

        await wait_until(are_ready, "all edge machines are ready")


async def call(
    ip: str,
    port: int,
    method: str,
    path: str,
    headers: list[tuple[str, str]],
    body: bytes,
    timeout_s: float = 2.0,
) -> tuple[int, dict, bytes]:
    """Send one request on a new connection; the status is 0 without an answer."""
    lines = [
        f"{method} {path} HTTP/1.1",
        *(f"{name}: {value}" for name, value in headers),
    ]
    lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write("\r\n".join(lines).encode() + body)
            await writer.drain()
            first, found = await read_head(reader)
            if "content-length" in found:
                answer = await reader.readexactly(int(found["content-length"]))
            else:
                answer = await reader.read()
            return int(first.split()[1]), found, answer
    except (OSError, TimeoutError, asyncio.IncompleteReadError, IndexError, ValueError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read the head of a message: its first line, and its headers in lower case."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


async def wait_until(
    is_true: Callable[[], Awaitable[bool]], what: str, timeout_s: float = 20.0
) -> None:
    """Wait for a condition; `TimeoutError` names it if it does not come true."""
    end = time.monotonic() + timeout_s
    while not await is_true():
        if time.monotonic() > end:
            raise TimeoutError(what)
        await asyncio.sleep(0.1)


class Record:
    """Writes what was sent, answered and run to ``record.txt``.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the case.
    """

    def __init__(self, folder: Path):
        self._began = time.monotonic()
        self._stream = open(folder / "record.txt", "w", buffering=1)  # noqa: SIM115

    def write(self, text: str) -> float:
        """Write a line; return its time in seconds."""
        now = time.monotonic()
        self._stream.write(f"{now - self._began:9.3f} s  {text}\n")
        return now

    def close(self) -> None:
        """Close the file."""
        self._stream.close()


class Runner:
    """A plain runner that announces itself as ``PROTOCOL.md`` says.

    Parameters
    ----------
    deployment : Deployment
        Deployment that it serves.
    number : int
        Number, which gives its address and id.
    service : str
        Its service.
    run_s : float
        Time that a request takes, in seconds.
    """

    def __init__(self, deployment: Deployment, number: int, service: str, run_s: float):
        self._deployment = deployment
        self._service = service
        self._run_s = run_s
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task | None = None
        self.id = f"i-{number:08x}"
        self.ip = deployment.address(number)
        self.port = 0
        #: Time, id and headers of each request that began to run.
        self.runs: list[tuple[float, str, dict]] = []

    async def start(self) -> None:
        """Listen, and announce this runner from now on."""
        self._server = await asyncio.start_server(self._serve, self.ip, self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._beats = asyncio.create_task(self._beat())

    def heartbeat(self) -> dict:
        """Return the next heartbeat."""
        self._sequence += 1
        return {
            "service": self._service,
            "address": f"{self.ip}:{self.port}",
            "zone": "regina-a",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": self._sequence,
        }

    async def announce(self, content: dict) -> bool:
        """Send a heartbeat to one machine after the other until one acknowledges it."""
        cores = list(self._deployment.cores)
        random.shuffle(cores)
        for core in cores:
            path = f"/Instances.Heartbeat/{self.id}"
            if await self._deployment.control(core, "POST", path, content) == 200:
                return True
        return False

    async def _beat(self) -> None:
        while True:
            await self.announce(self.heartbeat())
            await asyncio.sleep(HEARTBEAT_S)

    def end_heartbeats(self) -> None:
        """Send no more heartbeats."""
        self._beats.cancel()

    async def deregister(self) -> bool:
        """Say that this runner leaves, until it is acknowledged."""
        for core in self._deployment.cores:
            path = f"/Instances.Deregister/{self.id}"
            if await self._deployment.control(core, "POST", path) == 200:
                return True
        return False

    def stop(self) -> None:
        """End the runner."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()

    async def answer(self, request: str, headers: dict, writer) -> None:
        """Write the answer to one request."""
        head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {request}\r\n"
        head += f"Server-Signature: {self.id}.1\r\nKeep-Alive: timeout=5\r\n"
        writer.write(f"{head}Content-Length: 2\r\n\r\nok".encode())
        await writer.drain()

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                _, headers = await read_head(reader)
                await reader.readexactly(int(headers.get("content-length") or 0))
                request = headers.get("attempt-id", "")
                if headers.get("target-instance", self.id) != self.id:
                    head = f"HTTP/1.1 421 Misdirected\r\nAttempt-Id: {request}\r\n"
                    head += "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                    writer.write(head.encode())
                    await writer.drain()
                    continue
                now = self._deployment.record.write(
                    f"runner {self.id} runs request {request}, "
                    f"tenant {headers.get('tenant')}"
                )
                self.runs.append((now, request, headers))
                await asyncio.sleep(self._run_s)
                await self.answer(request, headers, writer)
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()


def configuration(version: int, **changes) -> dict:
    """Return a configuration with one route of each kind of plain request."""
    route = {
        "name": "r-once",
        "hostname": HOSTNAME,
        "path_prefix": "/once/",
        "route_type": "non_idempotent",
        "timeout_ms": 1500,
        "latency_goal_ms": 200,
        "priority": 1,
        "service": "wuno96b",
        "max_attempts": 1,
        "public": False,
        "sticky": False,
        "resumable": False,
    }
    again = {
        **route,
        "name": "r-again",
        "path_prefix": "/again/",
        "route_type": "idempotent",
        "max_attempts": 2,
    }
    return {
        "version": version,
        "routes": [route, again],
        "services": [
            {
                "name": "wuno96b",
                "health_path": "/healthz",
                "max_conns": 100,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
        **changes,
    }


def run_case(case: Callable[[Record], Awaitable[int]], folder: Path) -> None:
    """Run a case and exit with its code; 2 if it could not run."""
    record = Record(folder)
    try:
        code = asyncio.run(case(record))
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        code = NOT_RUN
    record.write({HELD: "the rule held", BROKEN: "the rule was broken"}.get(code, "-"))
    record.close()
    sys.exit(code)


def free_port(ip: str) -> int:
    """Return a free port of a loopback address."""
    with socket.socket() as one:
        one.bind((ip, 0))
        return one.getsockname()[1]
