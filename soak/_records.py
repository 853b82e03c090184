"""What a play records."""

from __future__ import annotations

import attrs


@attrs.define
class Attempt:
    """One request of a client. Times are unix seconds."""

    id: str
    path: str
    key: str
    gateway: str
    sent_at: float
    body: bytes
    #: 0 if no response arrived.
    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    answer: bytes = b""
    #: Whether the response arrived to its end.
    ended: bool = False
    ended_at: float = 0.0


@attrs.frozen
class Run:
    """The execution of a request.

    Attributes:
      id: Id of the request.
      at: Unix seconds of its start.
      replica: Name of the replica or engine.
      version: Version of the weights, None without a model.
    """

    id: str
    at: float
    replica: str
    version: int | None = None


@attrs.define
class Operators:
    """What operators wrote, with the unix seconds of each first acknowledgement."""

    keys: list[str] = attrs.field(factory=list)
    #: Keys that a configuration took away.
    revoked: dict[str, float] = attrs.field(factory=dict)
    declared: dict[int, float] = attrs.field(factory=dict)


@attrs.frozen
class Finding:
    """A broken rule.

    Attributes:
      rule: Name of the rule.
      at: Unix seconds at which it was broken.
      text: What was seen.
      id: Id of the request, empty without one.
    """

    rule: str
    at: float
    text: str
    id: str = ""
