"""Claims: each non-idempotent request runs at most once."""

from cranberryfield.control.claims.machine import (
    Claim,
    ClaimTable,
    apply_claim_command,
)

__all__ = ["Claim", "ClaimTable", "apply_claim_command"]
