"""Feature levels, which say what the builds of a group understand."""

from enum import IntEnum

__all__ = ["SUPPORTED_LEVEL", "FeatureLevel"]


class FeatureLevel(IntEnum):
    """What a build understands; each level includes all lower ones.

    A level is added with each kind of message or log record that earlier builds
    cannot read.
    """

    BASE = 0
    #: Rollouts, parts of deployments, shared slots.
    ROLLOUTS = 1


#: The level of this build.
SUPPORTED_LEVEL = max(FeatureLevel)
