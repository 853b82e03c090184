"""Runs a gateway on the users' platform: `python -m fescuechute.gateway`."""

import sys

from fescuechute.gateway import GatewayDaemon
from fescuechute.runtime import run_daemon

if __name__ == "__main__":
    sys.exit(run_daemon(GatewayDaemon))
