"""Reduced copies of the users' two fleets: settings, engines, plain services."""

from hashlib import sha256

from standins.group import Group, HostSpec

__all__ = [
    "HOSTS",
    "NOTARY_KEY",
    "RELEVE_KEY",
    "fleet_settings",
    "start_upstreams",
]

RELEVE_KEY = "releve-key"
NOTARY_KEY = "notary-key"

HOSTS = [
    HostSpec("control-1", "plateau", ("control",)),
    HostSpec("control-2", "fann", ("control",)),
    HostSpec("control-3", "almadies", ("control",)),
    HostSpec("entry-1", "plateau"),
    HostSpec("entry-2", "fann"),
    HostSpec("entry-3", "almadies"),
]
ENGINES = [
    ("redacteur-1", "redacteur", "plateau"),
    ("redacteur-2", "redacteur", "fann"),
    ("redacteur-3", "redacteur", "almadies"),
    ("archives-1", "archives", "plateau"),
    ("clerk-lm-1", "clerk-lm", "fann"),
    ("clerk-lm-2", "clerk-lm", "almadies"),
]
PLAIN_SERVICES = [
    ("booking-app-1", "booking-app", "plateau"),
    ("booking-app-2", "booking-app", "fann"),
]


def _digest(key: str) -> str:
    return sha256(key.encode()).hexdigest()


def fleet_settings() -> list[dict]:
    """Return the settings edits that configure both fleets."""
    return [
        {"level": "service/redacteur", "set": {"kind": "model"}},
        {"level": "service/archives", "set": {"kind": "model"}},
        {"level": "service/clerk-lm", "set": {"kind": "model"}},
        {
            "level": "service/booking-app",
            "set": {"kind": "plain", "idempotent": False},
        },
        {"level": "workspace/releve", "set": {"key_hashes": [_digest(RELEVE_KEY)]}},
        {"level": "workspace/notary", "set": {"key_hashes": [_digest(NOTARY_KEY)]}},
    ]


def start_upstreams(group: Group, **engine_options) -> int:
    """Start all upstreams of both fleets and return their number."""
    for name, service, data_centre in ENGINES:
        group.add_engine(name, service, data_centre, **engine_options)
    for name, service, data_centre in PLAIN_SERVICES:
        group.add_service(name, service, data_centre)
    return len(ENGINES) + len(PLAIN_SERVICES)
