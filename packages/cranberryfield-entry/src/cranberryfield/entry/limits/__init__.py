"""Request rate limits that all entry hosts enforce together.

Enforces the setting ``rate_limit_per_s`` of a workspace at a service, and the limits
that upstreams state in their answers. The token bucket of each limit is at one host;
the others lease tokens from it. Workspace quotas of a deployment, which the leader of
the control group grants, are in `cranberryfield.entry.quota`.
"""

from cranberryfield.entry.limits.rate_limiter import SharedRateLimiter
from cranberryfield.entry.limits.stated_limits import StatedLimits
from cranberryfield.entry.limits.token_leaser import TokenLeaser, TokenOwner

__all__ = ["SharedRateLimiter", "StatedLimits", "TokenLeaser", "TokenOwner"]
