"""Runs a stager on the users' platform: `python -m fescuechute.stager`."""

import sys

from fescuechute.runtime import run_daemon
from fescuechute.stager import StagerDaemon

if __name__ == "__main__":
    sys.exit(run_daemon(StagerDaemon))
