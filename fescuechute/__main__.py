"""Runs a daemon: `python -m fescuechute ROLE --config FILE`."""

import sys

from fescuechute.agent import AgentDaemon
from fescuechute.entry import EntryDaemon
from fescuechute.logs import setup
from fescuechute.settings import load_settings

role, cfg = sys.argv[1], load_settings(sys.argv[3])
setup(cfg.logs.level, cfg.logs.format)
daemon = EntryDaemon(cfg) if role == "entry" else AgentDaemon(cfg)
daemon.run()
