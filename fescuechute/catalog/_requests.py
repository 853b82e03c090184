"""What the fields of a request and of an answer say, in the project's words."""

from __future__ import annotations

import attrs


@attrs.frozen
class RequestMeta:
    """What a client says about its request."""

    #: Id of this attempt of the client; empty when it sent none.
    request_id: str
    #: Key of a workspace, or None.
    key: str | None
    #: Seconds for which the client waits, or None when it does not say.
    patience_s: float | None
    #: Id of the last event that the client has of a stream it resumes, or None.
    last_event_id: int | None
    model: str
    #: Prompt tokens, and the most output tokens.
    prompt_tokens: int
    max_tokens: int
    #: The client's estimate of its output tokens, 0 without one.
    expected_tokens: int


@attrs.frozen
class Onward:
    """What the system adds to a request on its way to a replica."""

    #: The only replica that may run it.
    instance: str
    #: Owner of the key, or None where none is needed.
    workspace: str | None
    #: Seconds that are left for the client.
    left_s: float
    #: 0 to 9; the replica admits 0 first.
    rank: int
    #: Version of the weights that must run it, or None for any.
    version: int | None
    #: Id of the last event that was delivered, or None.
    last_event_id: int | None


@attrs.frozen
class AnswerMeta:
    """What a replica says about its answer."""

    #: The replica states that it did not run the request.
    not_run: bool
    #: The request named another instance or version.
    misdirected: bool
    #: The answer bears the replica's seal and no encoding that it did not put there.
    sealed: bool
