"""VM list, observed liveness of processes, choice of links and rendezvous hashing.

Example:
  >>> from fescuechute.membership import rendezvous
  >>> rendezvous("log-reader", ["a", "b", "c"], 3) == rendezvous("log-reader", ["c", "b", "a"], 3)
  True
"""

from fescuechute.membership._directory import Directory, ListChange
from fescuechute.membership._peers import assigned_agents, choose_peers
from fescuechute.membership._rendezvous import duty_holders, rendezvous, score
from fescuechute.membership._rows import VmRow, parse_row

__all__ = [
    "Directory",
    "ListChange",
    "VmRow",
    "assigned_agents",
    "choose_peers",
    "duty_holders",
    "parse_row",
    "rendezvous",
    "score",
]
