"""The entry daemon, which accepts requests over HTTP and dispatches them to agents."""

from fescuechute.entry._daemon import EntryDaemon

__all__ = ["EntryDaemon"]
