"""Runs the command line: `python -m fescuechute`."""

import sys

from fescuechute.cli import main

if __name__ == "__main__":
    sys.exit(main())
