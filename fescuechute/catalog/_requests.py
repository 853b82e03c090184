"""Metadata of requests and responses, independent of the header format of the platform."""

from __future__ import annotations

import attrs


@attrs.frozen
class RequestMeta:
    """Metadata that a client sent with its request."""

    #: Id of this attempt of the client; empty if the client sent none.
    request_id: str
    #: API key of a workspace, or None.
    key: str | None
    #: Seconds that the client will wait, or None if not stated.
    client_timeout_s: float | None
    #: Id of the last event that the client received of a stream that it resumes, or None.
    last_event_id: int | None
    model: str
    #: Number of prompt tokens, and maximum number of output tokens.
    prompt_tokens: int
    max_tokens: int
    #: Estimate by the client of the number of output tokens, 0 if not stated.
    expected_tokens: int
    #: Ids of the parts of the prompt that it shares with other requests, in order.
    shared_parts: tuple[str, ...] = ()


@attrs.frozen
class ForwardedMeta:
    """Metadata that the gateway adds to a request forwarded to a replica."""

    #: Id of the only replica that may run the request.
    instance: str
    #: Workspace that owns the key, or None if the route requires no key.
    workspace: str | None
    #: Seconds left until the deadline of the client.
    remaining_s: float
    #: Priority from 0 to 9; the replica admits 0 first.
    rank: int
    #: Required version of the weights, or None for any.
    version: int | None
    #: Id of the last event delivered to the client, or None.
    last_event_id: int | None


@attrs.frozen
class ResponseMeta:
    """Metadata of a response from a replica."""

    #: Whether the response carries the id of a request.
    names_request: bool
    #: Whether the replica states that it did not run the request.
    not_run: bool
    #: Whether the replica rejected the request because it named another instance or version.
    misdirected: bool
    #: Whether the response has the seal of the replica and no encoding added on the way.
    sealed: bool
    #: Whether the replica states that it is leaving.
    leaving: bool
    #: Seconds for which a replica that refused the request wants none from this gateway, or None.
    retry_after_s: float | None
