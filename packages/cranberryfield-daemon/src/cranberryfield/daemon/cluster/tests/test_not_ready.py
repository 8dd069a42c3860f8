"""Retry delay for callers of a host that is not ready."""

from random import Random

import pytest

from cranberryfield.daemon.cluster.relay import not_ready_retry_s


@pytest.mark.parametrize(
    ("age_s", "least_s", "most_s"),
    [(0.0, 1.3, 1.7), (1.0, 0.3, 0.4), (3_600.0, 0.3, 0.4)],
)
def test_callers_return_when_a_start_is_usually_over_and_not_all_at_once(
    age_s, least_s, most_s
):
    rng = Random(1)
    told = [not_ready_retry_s(age_s, rng) for _ in range(50)]
    assert least_s <= min(told) < max(told) <= most_s
