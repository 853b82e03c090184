"""Runs the command line."""
import sys
from fescuechute.settings import load_settings
from fescuechute.logs import setup

role, cfg = sys.argv[1], load_settings(sys.argv[3])
setup(cfg.logs.level, cfg.logs.format)
if role == "entry":
    from fescuechute.entry import EntryDaemon as D
else:
    from fescuechute.agent import AgentDaemon as D
D(cfg).run()
