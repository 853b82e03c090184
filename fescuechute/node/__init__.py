"""Common base of the daemons: links, platform access, membership and the notes stream."""

from fescuechute.node._node import Node, socket_address
from fescuechute.node._notes import NOTES_STREAM, NoteFollower
from fescuechute.node._snapshots import SnapshotWriter
from fescuechute.node._vms import VmListPoller

__all__ = [
    "NOTES_STREAM",
    "Node",
    "NoteFollower",
    "SnapshotWriter",
    "VmListPoller",
    "socket_address",
]
