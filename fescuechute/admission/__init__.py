"""Admission control: a fair queue by rank and workspace, and early refusal.

Example:
  >>> from fescuechute.admission import FairQueue, QueuedItem
  >>> queue = FairQueue([("urgent", 0.0), ("background", 0.05)], {})
  >>> queue.push(QueuedItem("r1", "background", "w1", 100.0, 0.0, 9.0, None))
  >>> queue.push(QueuedItem("r2", "urgent", "w1", 100.0, 0.0, 9.0, None))
  >>> queue.pop(1.0).item_id
  'r2'
"""

from fescuechute.admission._items import QueuedItem
from fescuechute.admission._policy import AdmissionPolicy, Refusal
from fescuechute.admission._queue import FairQueue
from fescuechute.admission._rate import RateEstimator

__all__ = ["AdmissionPolicy", "FairQueue", "QueuedItem", "RateEstimator", "Refusal"]
