"""Records of the `claims-<p>` log streams."""

from __future__ import annotations

import math
from typing import Any, TypeGuard

import attrs

from fescuechute.checks import is_final_status
from fescuechute.claims._keys import Key, Scope
from fescuechute.errors import RefusedError


def _require_text(data: dict[str, Any], name: str) -> str:
    value = data.get(name)
    if not isinstance(value, str) or not value:
        raise ValueError(f"{name} is {value!r:.100}, expected a non-empty string.")
    return value


@attrs.frozen
class ClaimRecord:
    """Claims a scope before its call is sent."""

    claim_id: str
    scope: Scope
    operation: str
    #: Process that made the claim; every start of a process has a new holder name.
    holder: str
    #: Digest of the request's content.
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
        """Parses the JSON object of a log record, or raises `ValueError`."""
        try:
            key = Key.parse(_require_text(data, "key"))
        except RefusedError as exc:
            raise ValueError(exc.found) from exc
        return cls(
            claim_id=_require_text(data, "claim_id"),
            scope=Scope(_require_text(data, "workspace"), _require_text(data, "service"), key),
            operation=_require_text(data, "operation"),
            holder=_require_text(data, "holder"),
            digest=_require_text(data, "digest"),
        )


@attrs.frozen
class OutcomeRecord:
    """Records that the call of a claim was executed, with its result."""

    claim_id: str
    #: HTTP status of the service's answer.
    status: int
    #: JSON text of the service's answer.
    body: str

    @property
    def record_id(self) -> str:
        """Id of the log record, identical whether the entry or the agent appends it."""
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
        """Parses the JSON object of a log record, or raises `ValueError`."""
        status, body = data.get("status"), data.get("body")
        if not is_final_status(status):
            raise ValueError(f"status is {status!r:.100}, expected an integer from 200 to 599.")
        if not isinstance(body, str):
            raise ValueError("body is missing, expected a string.")
        return cls(_require_text(data, "claim_id"), status, body)


@attrs.frozen
class ReleaseRecord:
    """Releases a claim: its call was not executed and never will be under this claim."""

    claim_id: str
    #: Holder named in the claim. A release with a different holder has no effect.
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
        """Parses the JSON object of a log record, or raises `ValueError`."""
        return cls(_require_text(data, "claim_id"), _require_text(data, "holder"))


@attrs.frozen
class EraRecord:
    """States that the log returned from a copy and bounds the time of that return."""

    #: Era that began with the return.
    era: int
    #: Upper bound of the time of the return by the log's clock, unix seconds.
    returned_by: float
    #: Process that appended the record.
    holder: str
    #: Number of the record among those of its holder and partition.
    number: int

    @property
    def record_id(self) -> str:
        """Id of the log record."""
        return f"{self.holder}/era/{self.number}"

    def to_data(self) -> dict[str, Any]:
        """Returns the JSON object of the log record."""
        return {
            "type": "era",
            "era": self.era,
            "returned_by": self.returned_by,
            "holder": self.holder,
            "number": self.number,
        }

    @classmethod
    def from_data(cls, data: dict[str, Any]) -> EraRecord:
        """Parses the JSON object of a log record, or raises `ValueError`."""
        era, returned_by, number = data.get("era"), data.get("returned_by"), data.get("number")
        if type(era) is not int or era < 1:
            raise ValueError(f"era is {era!r:.100}, expected an integer of 1 or more.")
        if not is_timestamp(returned_by):
            raise ValueError(f"returned_by is {returned_by!r:.100}, expected unix seconds.")
        if type(number) is not int:
            raise ValueError(f"number is {number!r:.100}, expected an integer.")
        return cls(era, returned_by, _require_text(data, "holder"), number)


LogRecord = ClaimRecord | OutcomeRecord | ReleaseRecord | EraRecord

_RECORD_TYPES: dict[
    str, type[ClaimRecord] | type[OutcomeRecord] | type[ReleaseRecord] | type[EraRecord]
] = {
    "claim": ClaimRecord,
    "outcome": OutcomeRecord,
    "release": ReleaseRecord,
    "era": EraRecord,
}


def is_timestamp(value: object) -> TypeGuard[float]:
    """Whether a value read from the log is a valid time."""
    return isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value)


def holder_of(claim_id: str) -> str:
    """Returns the holder that made a claim, which `ClaimTable` puts in front of its claim ids."""
    return claim_id.rpartition("/")[0]


def parse_record(data: object) -> LogRecord:
    """Parses the data of a log record of any type, or raises `ValueError`."""
    if not isinstance(data, dict):
        raise ValueError(f"The data is a {type(data).__name__}, expected an object.")
    kind = data.get("type")
    if not isinstance(kind, str) or kind not in _RECORD_TYPES:
        raise ValueError(f"type is {kind!r:.100}, expected one of {', '.join(_RECORD_TYPES)}.")
    return _RECORD_TYPES[kind].from_data(data)
