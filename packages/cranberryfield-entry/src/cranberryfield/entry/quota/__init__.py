"""Quotas of workspaces over all hosts, by leases from the leader."""

from cranberryfield.entry.quota.client import QuotaClient
from cranberryfield.entry.quota.keeper import QuotaKeeper, QuotaLeeway

__all__ = ["QuotaClient", "QuotaKeeper", "QuotaLeeway"]
