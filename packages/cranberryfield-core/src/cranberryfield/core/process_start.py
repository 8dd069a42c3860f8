"""Time at which this process started, as far as it can tell.

A launcher imports this module before all others.
"""

from cranberryfield.core.clock import boot_time_clock

__all__ = ["PROCESS_STARTED_AT"]

#: Time of `boot_time_clock` in seconds at the import of this module. An earlier
#: process of the same host has ended before.
PROCESS_STARTED_AT = boot_time_clock()
