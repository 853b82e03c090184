"""Assembly of streamed answers from pieces.

Example:
  >>> from fescuechute.streams import Assembly, text_digest
  >>> answer = Assembly("r1")
  >>> answer.start_attempt(1, 0)
  >>> answer.add(1, 0, ("cut", " list"))
  ('cut', ' list')
  >>> answer.finish(1, 2, text_digest(("cut", " list")))
  >>> answer.complete
  True
"""

from fescuechute.streams._assembly import Assembly, IncompleteAnswerError
from fescuechute.streams._digest import text_digest
from fescuechute.streams._resume import ModelIdentity, can_restart, can_resume

__all__ = [
    "Assembly",
    "IncompleteAnswerError",
    "ModelIdentity",
    "can_restart",
    "can_resume",
    "text_digest",
]
