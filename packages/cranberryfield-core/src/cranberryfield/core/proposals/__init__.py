"""Sends commands to whichever control host leads the replicated log."""

from cranberryfield.core.proposals.proposer import Proposer

__all__ = ["Proposer"]
