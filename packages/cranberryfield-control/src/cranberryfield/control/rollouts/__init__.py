"""Rollouts, which move a service to another software version step by step."""

from cranberryfield.control.rollouts.counts import CollectedCounts, record_counts
from cranberryfield.control.rollouts.machine import (
    Rollout,
    RolloutsState,
    apply_rollout_command,
    rollout_view,
)
from cranberryfield.control.rollouts.plan import (
    ExposureBound,
    Plan,
    Situation,
    VersionsServing,
    plan_rollout,
)
from cranberryfield.control.rollouts.verdict import (
    Evidence,
    Verdict,
    current_verdict,
    update_evidence,
)

__all__ = [
    "CollectedCounts",
    "Evidence",
    "ExposureBound",
    "Plan",
    "Rollout",
    "RolloutsState",
    "Situation",
    "Verdict",
    "VersionsServing",
    "apply_rollout_command",
    "current_verdict",
    "plan_rollout",
    "record_counts",
    "rollout_view",
    "update_evidence",
]
