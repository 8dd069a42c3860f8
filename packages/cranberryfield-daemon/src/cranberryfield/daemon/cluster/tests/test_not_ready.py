"""Retry delay for callers of a host that is not ready."""

from random import Random

import pytest

from cranberryfield.daemon.cluster.relay import not_ready_retry_s


@pytest.mark.parametrize(
    ("age_s", "min_s", "max_s"),
    [(0.0, 1.3, 1.7), (1.0, 0.3, 0.4), (3_600.0, 0.3, 0.4)],
)
def test_retry_delay_covers_a_typical_start_with_jitter(age_s, min_s, max_s):
    rng = Random(1)
    delays_s = [not_ready_retry_s(age_s, rng) for _ in range(50)]
    assert min_s <= min(delays_s) < max(delays_s) <= max_s
