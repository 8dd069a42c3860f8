"""Runs the client as ``python -m cranberryfield.client``."""

from cranberryfield.client.main import main

main()
