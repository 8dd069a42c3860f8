"""Expiry of the lease of a deployment, and the order of versions."""

import pytest

from cranberryfield.core.deployment import Deployment
from cranberryfield.entry.deployment import (
    DeploymentSection,
    install_deployment,
    is_deployment_current,
)

LEASE_S = 4.0


@pytest.mark.parametrize(
    ("has_deployment", "age_s", "expected"),
    [(False, 0.0, False), (True, 0.0, True), (True, 3.9, True), (True, 4.0, False)],
)
def test_deployment_is_current_within_its_lease(has_deployment, age_s, expected):
    section = DeploymentSection(LEASE_S, confirmed_at=50.0)
    if has_deployment:
        install_deployment(section, Deployment(1))
    assert is_deployment_current(section, 50.0 + age_s) is expected


@pytest.mark.parametrize(("version", "expected"), [(6, 7), (7, 7), (8, 8), (-1, 7)])
def test_version_never_decreases(version, expected):
    section = DeploymentSection(LEASE_S)
    install_deployment(section, Deployment(7))
    install_deployment(section, Deployment(version))
    assert section.version == expected
