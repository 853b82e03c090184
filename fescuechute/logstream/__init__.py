"""Ordered view of a log stream, fed by polls of the log service and by records from peers.

Example:
  >>> from fescuechute.logstream import StreamView
  >>> view = StreamView("notes")
  >>> new = view.apply(0, [{"offset": 0, "time": 1.0, "id": "a", "data": {}}], oldest=0)
  >>> len(new), view.next_offset, view.complete_since
  (1, 1, -inf)
"""

from fescuechute.logstream._records import MAX_RECORD_BYTES, to_transportable
from fescuechute.logstream._view import StreamView

__all__ = ["MAX_RECORD_BYTES", "StreamView", "to_transportable"]
