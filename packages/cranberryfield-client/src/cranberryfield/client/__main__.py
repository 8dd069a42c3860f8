"""Entry point for ``python -m cranberryfield.client``."""

from cranberryfield.client.main import main

main()
