"""SIGHUP during the start of a host: the default action would end the process."""

import os
import signal
import subprocess
import sys
from pathlib import Path

from standins.platform_cluster import RELAYS, Cluster
from standins.processes import wait_until

LAUNCH = Path(__file__).parents[2] / "deploy" / "launch.py"


def ignores_sighup(pid):
    status = Path(f"/proc/{pid}/status").read_text()
    (mask,) = (
        int(line.split()[1], 16)
        for line in status.splitlines()
        if line.startswith("SigIgn:")
    )
    return bool(mask & 1 << (signal.SIGHUP - 1))


def test_sighup_during_the_start_does_not_end_the_host(tmp_path):
    settings = Cluster(tmp_path).folder / f"{RELAYS[0]}.yaml"
    log = tmp_path / "log"
    with open(log, "wb") as output:
        host = subprocess.Popen(
            [sys.executable, str(LAUNCH)],
            env={**os.environ, "CRANBERRYFIELD_CONFIG": str(settings)},
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=output,
        )
    try:
        wait_until(lambda: ignores_sighup(host.pid), "the host has begun to start")
        host.send_signal(signal.SIGHUP)
        wait_until(lambda: b'"event":"started"' in log.read_bytes(), "it has started")
        host.send_signal(signal.SIGHUP)
        wait_until(lambda: b"may have changed" in log.read_bytes(), "it was told")
        assert host.poll() is None
    finally:
        host.kill()
        host.wait()
