"""Parsing and validation of request bodies. Each refusal names the field and the remedy."""

from __future__ import annotations

import json
from typing import Any

import attrs

from fescuechute.errors import Reason, RefusedError
from fescuechute.settings import RankSettings, ServiceSettings, Settings

_GENERATE_FIELDS = {
    "workspace",
    "rank",
    "model",
    "adapter",
    "prompt",
    "max_tokens",
    "stream",
    "deadline_unix_ms",
}
_CALL_FIELDS = {
    "workspace",
    "rank",
    "service",
    "operation",
    "arguments",
    "idempotency_key",
    "deadline_unix_ms",
}


@attrs.frozen
class GenerateRequest:
    """A validated model request."""

    workspace: str
    rank: str
    model: str
    adapter: str
    prompt: str
    max_tokens: int
    stream: bool
    #: Unix seconds.
    deadline: float


@attrs.frozen
class CallRequest:
    """A validated service call."""

    workspace: str
    rank: str
    service: str
    operation: str
    #: JSON text in canonical form, so that equal arguments have equal digests.
    arguments: str
    #: Idempotency key; empty if the caller sent none.
    key: str
    #: Whether the operation must run at most once.
    non_repeatable: bool
    #: Unix seconds.
    deadline: float


class Validator:
    """Validates request bodies against the settings of this process."""

    def __init__(self, cfg: Settings):
        self._cfg = cfg
        self._ranks: dict[str, RankSettings] = {rank.name: rank for rank in cfg.ranks}
        self._workspaces = {workspace.name for workspace in cfg.workspaces}
        self._services: dict[str, ServiceSettings] = {svc.name: svc for svc in cfg.services}

    def generate(self, body: bytes, now: float) -> GenerateRequest:
        """Parses the body of a model request.

        Raises:
          RefusedError: If a field is missing, unknown or out of range.
        """
        data = _json_object(body, _GENERATE_FIELDS)
        workspace, rank = self._workspace_and_rank(data)
        max_tokens = data.get("max_tokens")
        limit = self._cfg.entry.max_tokens
        if not isinstance(max_tokens, int) or isinstance(max_tokens, bool):
            raise _malformed("max_tokens is missing or not a whole number.")
        if not 1 <= max_tokens <= limit:
            raise _malformed(f"max_tokens is {max_tokens}, expected 1 to {limit}.")
        streamed = data.get("stream", False)
        if not isinstance(streamed, bool):
            raise _malformed("stream is not true or false.")
        return GenerateRequest(
            workspace,
            rank,
            _text(data, "model"),
            _text(data, "adapter", required=False),
            _text(data, "prompt"),
            max_tokens,
            streamed,
            self._deadline(data, rank, now),
        )

    def call(self, body: bytes, now: float) -> CallRequest:
        """Parses the body of a service call.

        Raises:
          RefusedError: If a field is missing, unknown or out of range.
        """
        data = _json_object(body, _CALL_FIELDS)
        workspace, rank = self._workspace_and_rank(data)
        service, operation = _text(data, "service"), _text(data, "operation")
        known = self._services.get(service)
        if known is None:
            raise RefusedError(Reason.UNKNOWN_SERVICE, f"Service {service!r} is not known.")
        non_repeatable = operation in known.non_repeatable
        if not non_repeatable and operation not in known.operations:
            found = f"Service {service!r} has no operation {operation!r}."
            raise RefusedError(Reason.UNKNOWN_OPERATION, found)
        arguments = data.get("arguments", {})
        if not isinstance(arguments, dict):
            raise _malformed("arguments is not an object.")
        key = _text(data, "idempotency_key", required=False)
        if non_repeatable and not key:
            found = f"Operation {operation!r} must not repeat and the request has no key."
            raise RefusedError(Reason.KEY_MISSING, found)
        canonical = json.dumps(arguments, sort_keys=True, separators=(",", ":"))
        deadline = self._deadline(data, rank, now)
        return CallRequest(
            workspace, rank, service, operation, canonical, key, non_repeatable, deadline
        )

    def workspace(self, name: str) -> str:
        """Returns the name of a workspace after checking that it exists.

        Raises:
          RefusedError: If the settings do not list the workspace.
        """
        if name not in self._workspaces:
            raise RefusedError(Reason.UNKNOWN_WORKSPACE, f"Workspace {name!r} is not known.")
        return name

    def _workspace_and_rank(self, data: dict[str, Any]) -> tuple[str, str]:
        workspace = self.workspace(_text(data, "workspace"))
        rank = _text(data, "rank")
        if rank not in self._ranks:
            found = f"Rank {rank!r} is not one of {', '.join(self._ranks)}."
            raise RefusedError(Reason.UNKNOWN_RANK, found)
        return workspace, rank

    def _deadline(self, data: dict[str, Any], rank: str, now: float) -> float:
        value = data.get("deadline_unix_ms")
        if value is None:
            return now + self._ranks[rank].default_timeout_ms / 1000
        if not isinstance(value, int | float) or isinstance(value, bool):
            raise _malformed("deadline_unix_ms is not a number.")
        deadline = value / 1000
        if deadline <= now:
            found = f"deadline_unix_ms is {int((now - deadline) * 1000)} ms in the past."
            raise RefusedError(Reason.DEADLINE_IN_PAST, found)
        return deadline


def _json_object(body: bytes, known: set[str]) -> dict[str, Any]:
    try:
        data = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise _malformed(f"The body is not JSON: {exc}.") from exc
    if not isinstance(data, dict):
        raise _malformed("The body is not a JSON object.")
    unknown = sorted(set(data) - known)
    if unknown:
        found = f"Unknown field {unknown[0]!r}; known are {', '.join(sorted(known))}."
        raise _malformed(found)
    return data


def _text(data: dict[str, Any], name: str, required: bool = True) -> str:
    value = data.get(name)
    if value is None and not required:
        return ""
    if not isinstance(value, str) or (required and not value):
        raise _malformed(f"{name} is missing or not a text.")
    return value


def _malformed(found: str) -> RefusedError:
    return RefusedError(Reason.MALFORMED_REQUEST, found)
