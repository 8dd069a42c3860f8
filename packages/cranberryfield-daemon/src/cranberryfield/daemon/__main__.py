"""Runs the daemon as ``python -m cranberryfield.daemon``."""

from cranberryfield.daemon.main import main

main()
