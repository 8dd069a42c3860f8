"""What began each stream, so that another host can let it go on.

A caller that has lost its connection takes its stream up again at any relay. Relays
tell two control hosts which software version they send a stream to, and ask the
control hosts when a stream of another relay is taken up.
"""

from cranberryfield.entry.streams.directory import StreamDirectory
from cranberryfield.entry.streams.found_origin import FoundOrigin
from cranberryfield.entry.streams.section import (
    StreamOrigin,
    StreamOriginSection,
    known_versions,
    resumed_origin,
)
from cranberryfield.entry.streams.served_versions import (
    ServedVersionSection,
    VersionEvidence,
)

__all__ = [
    "FoundOrigin",
    "ServedVersionSection",
    "StreamDirectory",
    "StreamOrigin",
    "StreamOriginSection",
    "VersionEvidence",
    "known_versions",
    "resumed_origin",
]
