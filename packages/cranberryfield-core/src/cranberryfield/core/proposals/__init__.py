"""Proposal of commands to the leader of the replicated log."""

from cranberryfield.core.proposals.proposer import Proposer

__all__ = ["Proposer"]
