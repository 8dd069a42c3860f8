"""Log of the leaders that a replica follows, and of times without one."""

import structlog

from cranberryfield.control.consensus import Replica
from cranberryfield.core.ids import ReplicaId, Term

__all__ = ["LeadershipLog"]

#: Time without a leader that is logged, and the interval at which it is logged again,
#: in seconds; an ordinary election takes less.
NO_LEADER_INTERVAL_S = 3.0

logger = structlog.get_logger(__name__)


class LeadershipLog:
    """Writes a line for each leader, and while a voter has none.

    Parameters
    ----------
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, now: float):
        self._logged: tuple[Term, ReplicaId] | None = None
        self._last_leader_at = now
        self._next_line_at = now + NO_LEADER_INTERVAL_S

    def record(self, replica: Replica, now: float) -> None:
        """Write what has changed since the last call.

        Parameters
        ----------
        replica : Replica
            The replica of this host.
        now : float
            Monotonic time in seconds.
        """
        if replica.leader is not None:
            self._last_leader_at = now
            self._next_line_at = now + NO_LEADER_INTERVAL_S
            if self._logged != (replica.term, replica.leader):
                self._logged = (replica.term, replica.leader)
                logger.info(
                    "leader known",
                    leader=replica.leader,
                    term=replica.term,
                    voters=replica.voters,
                )
        elif now >= self._next_line_at:
            self._next_line_at = now + NO_LEADER_INTERVAL_S
            logger.warning(
                "no leader",
                without_leader_s=round(now - self._last_leader_at, 1),
                term=replica.term,
                last_index=replica.log.last_index,
                voters=replica.voters,
                votes=sorted(replica.votes),
                needed=replica.quorum,
            )
