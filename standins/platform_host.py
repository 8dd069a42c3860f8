"""Runs one host of the adapter with a settings file given as an argument."""

import os
import sys

from cranberryfield.platform.main import SETTINGS_VARIABLE, main

if __name__ == "__main__":
    os.environ[SETTINGS_VARIABLE] = sys.argv[1]
    main()
