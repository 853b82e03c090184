"""Records of the `claims-<p>` log streams."""

from __future__ import annotations

from typing import Any

import attrs

from fescuechute.claims._keys import Key, Scope
from fescuechute.errors import RefusedError


def _text(data: dict[str, Any], name: str) -> str:
    value = data.get(name)
    if not isinstance(value, str) or not value:
        raise ValueError(f"{name} is {value!r:.100}, expected a non-empty string.")
    return value


@attrs.frozen
class ClaimRecord:
    """A process wants to send the call of a scope."""

    claim_id: str
    scope: Scope
    operation: str
    #: Process that made the claim, different for each start of it.
    holder: str
    #: Digest of the content of the request.
    digest: str

    @property
    def record_id(self) -> str:
        """Id of the log record."""
        return f"{self.claim_id}/claim"

    def to_data(self) -> dict[str, Any]:
        """Returns the JSON object of the log record."""
        return {
            "type": "claim",
            "claim_id": self.claim_id,
            "workspace": self.scope.workspace,
            "service": self.scope.service,
            "operation": self.operation,
            "key": self.scope.key.text,
            "holder": self.holder,
            "digest": self.digest,
        }

    @classmethod
    def from_data(cls, data: dict[str, Any]) -> ClaimRecord:
        """Returns the record, or raises `ValueError`."""
        try:
            key = Key.parse(_text(data, "key"))
        except RefusedError as exc:
            raise ValueError(exc.found) from exc
        return cls(
            claim_id=_text(data, "claim_id"),
            scope=Scope(_text(data, "workspace"), _text(data, "service"), key),
            operation=_text(data, "operation"),
            holder=_text(data, "holder"),
            digest=_text(data, "digest"),
        )


@attrs.frozen
class OutcomeRecord:
    """The call of a claim was executed with this result."""

    claim_id: str
    #: HTTP status of the service's answer.
    status: int
    #: JSON text of the service's answer.
    body: str

    @property
    def record_id(self) -> str:
        """Id of the log record; the same whether the entry or the agent appends it."""
        return f"{self.claim_id}/outcome"

    def to_data(self) -> dict[str, Any]:
        """Returns the JSON object of the log record."""
        return {
            "type": "outcome",
            "claim_id": self.claim_id,
            "status": self.status,
            "body": self.body,
        }

    @classmethod
    def from_data(cls, data: dict[str, Any]) -> OutcomeRecord:
        """Returns the record, or raises `ValueError`."""
        status, body = data.get("status"), data.get("body")
        if type(status) is not int or not 100 <= status <= 599:
            raise ValueError(f"status is {status!r:.100}, expected an HTTP status.")
        if not isinstance(body, str):
            raise ValueError("body is missing, expected a string.")
        return cls(_text(data, "claim_id"), status, body)


@attrs.frozen
class ReleaseRecord:
    """The call of a claim was not executed and never will be under this claim."""

    claim_id: str
    #: Holder named in the claim. A release that names another has no effect.
    holder: str

    @property
    def record_id(self) -> str:
        """Id of the log record."""
        return f"{self.claim_id}/release"

    def to_data(self) -> dict[str, Any]:
        """Returns the JSON object of the log record."""
        return {"type": "release", "claim_id": self.claim_id, "holder": self.holder}

    @classmethod
    def from_data(cls, data: dict[str, Any]) -> ReleaseRecord:
        """Returns the record, or raises `ValueError`."""
        return cls(_text(data, "claim_id"), _text(data, "holder"))


LogRecord = ClaimRecord | OutcomeRecord | ReleaseRecord

_TYPES: dict[str, type[ClaimRecord] | type[OutcomeRecord] | type[ReleaseRecord]] = {
    "claim": ClaimRecord,
    "outcome": OutcomeRecord,
    "release": ReleaseRecord,
}


def holder_of(claim_id: str) -> str:
    """Returns the process that made a claim; a `ClaimTable` starts its claim ids with it."""
    return claim_id.rpartition("/")[0]


def parse_record(data: object) -> LogRecord:
    """Returns the record of a log record's data, or raises `ValueError`."""
    if not isinstance(data, dict):
        raise ValueError(f"The data is a {type(data).__name__}, expected an object.")
    kind = data.get("type")
    if not isinstance(kind, str) or kind not in _TYPES:
        raise ValueError(f"type is {kind!r:.100}, expected one of {', '.join(_TYPES)}.")
    return _TYPES[kind].from_data(data)
