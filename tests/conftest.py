import tempfile
from pathlib import Path

import pytest

from standins.fleets import HOSTS, fleet_settings, start_upstreams
from standins.group import running_group


@pytest.fixture(scope="session")
def fleet():
    """Group that runs reduced versions of both fleets, shared by the session.

    Tests that use it must leave all processes running.
    """
    with (
        tempfile.TemporaryDirectory() as folder,
        running_group(Path(folder), HOSTS) as group,
    ):
        group.wait_revision(group.change_settings(fleet_settings(), "f", "entry-1"))
        group.wait_upstreams(start_upstreams(group))
        yield group
