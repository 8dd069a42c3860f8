"""Limits that follow from the settings of a process."""

import resource
from types import SimpleNamespace

import pytest

from cranberryfield.core.http1 import listeners
from cranberryfield.core.http1.listeners import ListenerFactory, ProcessLimits
from cranberryfield.core.metrics import Metrics

MIB = 1 << 20


def limits_of(**settings):
    defaults = {
        "memory_mb": 160.0,
        "max_descriptors": 1_638,
        "max_connections": None,
        "max_held_mb": None,
    }
    return ProcessLimits.from_config(SimpleNamespace(**{**defaults, **settings}))


@pytest.mark.parametrize(
    ("settings", "connections", "links", "held_mib"),
    [
        ({}, 400, 359, 32),
        # Memory binds above, descriptors here.
        ({"memory_mb": 440.0}, 719, 359, 88),
        ({"memory_mb": 200.0, "max_descriptors": 4_100}, 500, 975, 40),
        ({"max_descriptors": 300}, 75, 37, 32),
        ({"max_connections": 50, "max_held_mb": 8.0}, 50, 359, 8),
        # No more than there are descriptors for.
        ({"max_connections": 5_000}, 1_438, 359, 32),
    ],
)
def test_limits_of_settings(settings, connections, links, held_mib):
    limits = limits_of(**settings)
    assert limits.caller_connections == connections
    assert limits.link_connections == links
    assert limits.held_bytes == held_mib * MIB


@pytest.mark.parametrize(
    ("limit", "connections"), [(1_024, 400), (resource.RLIM_INFINITY, 400), (256, 64)]
)
def test_the_limit_of_the_process_is_the_default(monkeypatch, limit, connections):
    monkeypatch.setattr(listeners.resource, "getrlimit", lambda number: (limit, limit))
    assert limits_of(max_descriptors=None).caller_connections == connections


def test_listeners_share_the_bytes_and_not_the_connections():
    factory = ListenerFactory(limits_of(), Metrics(), lambda: 0.0)
    tools, others = factory.for_tools("ready"), factory.for_tools("metrics")
    assert tools.budget is others.budget is factory.budget
    assert tools.table is not others.table
    assert tools.table.max_connections == 32
