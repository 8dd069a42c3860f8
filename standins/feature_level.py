"""Control hosts of tests that begin at the feature level of rollouts."""

from cranberryfield.control import recovery, runtime
from cranberryfield.core.features import FeatureLevel

__all__ = ["assume_rollouts"]


def assume_rollouts() -> None:
    """Have each state that this process decodes understand rollouts.

    It stands for the command that raises the level once all control hosts are able to.
    """
    decode_state = recovery.decode_state

    def decode_with_rollouts(data: bytes):
        state = decode_state(data)
        state.feature_level = max(state.feature_level, FeatureLevel.ROLLOUTS)
        return state

    recovery.decode_state = runtime.decode_state = decode_with_rollouts
