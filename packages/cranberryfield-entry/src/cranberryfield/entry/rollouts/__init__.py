"""The relay's side of rollouts: shares, credits, outcomes and reports.

The leader decides about a rollout; a relay keeps within the share that it is granted,
and reports how attempts at both versions end.
"""

from cranberryfield.entry.rollouts.outcomes import Judgement
from cranberryfield.entry.rollouts.reporter import RolloutReporter
from cranberryfield.entry.rollouts.section import RolloutSection
from cranberryfield.entry.rollouts.traffic import RolloutRun, RolloutTraffic

__all__ = [
    "Judgement",
    "RolloutReporter",
    "RolloutRun",
    "RolloutSection",
    "RolloutTraffic",
]
