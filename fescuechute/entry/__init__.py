"""The entry daemon."""

from fescuechute.entry._daemon import EntryDaemon

__all__ = ["EntryDaemon"]
