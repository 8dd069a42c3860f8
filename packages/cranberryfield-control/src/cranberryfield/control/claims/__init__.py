"""Replicated claims, which let a non-idempotent request run at most once."""

from cranberryfield.control.claims.clock import LogClock
from cranberryfield.control.claims.machine import apply_claim_command
from cranberryfield.control.claims.table import Claim, ClaimTable

__all__ = ["Claim", "ClaimTable", "LogClock", "apply_claim_command"]
