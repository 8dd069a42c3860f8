"""Workspace quotas of a deployment, granted to hosts by the leader.

The leader of the control group has one token bucket per workspace and grants parts
of it to the relay hosts; the cost of a request is its number of tokens, or one. The
per-service request rate ``rate_limit_per_s``, which entry hosts enforce among
themselves without a leader, is in `cranberryfield.entry.limits`.
"""

from cranberryfield.entry.quota.client import QuotaClient
from cranberryfield.entry.quota.server import QuotaLeeway, QuotaServer

__all__ = ["QuotaClient", "QuotaLeeway", "QuotaServer"]
