"""Refusal reasons with their HTTP status codes and remedies."""

from __future__ import annotations

import enum

import attrs


class ExecutionStatus(enum.StrEnum):
    """Whether a refused or failed request was executed."""

    NOT_RUN = "not_run"
    PARTIAL = "partial"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Why a request was refused or failed. Each value names a counter."""

    MALFORMED_REQUEST = "malformed_request"
    BODY_TOO_LARGE = "body_too_large"
    NOT_FOUND = "not_found"
    UNKNOWN_WORKSPACE = "unknown_workspace"
    UNKNOWN_RANK = "unknown_rank"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_ADAPTER = "unknown_adapter"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_OPERATION = "unknown_operation"
    DEADLINE_IN_PAST = "deadline_in_past"
    DEADLINE_PASSED = "deadline_passed"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    OVERLOADED = "overloaded"
    BUSY = "busy"
    NO_UPSTREAM = "no_upstream"
    NO_REGION = "no_region"
    SWITCHING = "switching"
    WRONG_VERSION = "wrong_version"
    DRAINING = "draining"
    NOT_READY = "not_ready"
    QUARANTINED = "quarantined"
    RETRY_BUDGET = "retry_budget"
    CANCELLED = "cancelled"
    UPSTREAM_LOST = "upstream_lost"
    UPSTREAM_ERROR = "upstream_error"
    INCOMPLETE_ANSWER = "incomplete_answer"
    KEY_MISSING = "key_missing"
    KEY_MALFORMED = "key_malformed"
    KEY_EXPIRED = "key_expired"
    KEY_REUSED = "key_reused"
    UNKNOWN_KEY = "unknown_key"
    STALE_CONFIGURATION = "stale_configuration"
    LOG_UNAVAILABLE = "log_unavailable"
    OUTCOME_UNKNOWN = "outcome_unknown"
    INTERNAL_ERROR = "internal_error"


@attrs.frozen
class Refusal:
    """How a refusal reason is presented to callers."""

    #: HTTP status code of the response.
    status: int
    #: Instruction to the caller, in one sentence.
    remedy: str


_REFUSAL_BY_REASON = {
    Reason.MALFORMED_REQUEST: Refusal(400, "Correct the named field and send the request again."),
    Reason.BODY_TOO_LARGE: Refusal(413, "Send a smaller body."),
    Reason.NOT_FOUND: Refusal(404, "Use one of the documented paths."),
    Reason.UNKNOWN_WORKSPACE: Refusal(403, "Use a workspace that the settings name."),
    Reason.UNKNOWN_RANK: Refusal(400, "Use a rank that the settings name."),
    Reason.UNKNOWN_MODEL: Refusal(404, "Use a model that the note in force declares here."),
    Reason.UNKNOWN_ADAPTER: Refusal(404, "Use an adapter that the note in force declares here."),
    Reason.UNKNOWN_SERVICE: Refusal(404, "Use a service that the settings name."),
    Reason.UNKNOWN_OPERATION: Refusal(404, "Use an operation that the settings list."),
    Reason.DEADLINE_IN_PAST: Refusal(400, "Send a deadline in the future, in unix milliseconds."),
    Reason.DEADLINE_PASSED: Refusal(504, "Send the request again with a later deadline."),
    Reason.DEADLINE_UNREACHABLE: Refusal(503, "Send it again later or with a later deadline."),
    Reason.OVERLOADED: Refusal(503, "Send the request again after the retry time."),
    Reason.BUSY: Refusal(503, "Send the request again after the retry time."),
    Reason.NO_UPSTREAM: Refusal(503, "Send the request again after the retry time."),
    Reason.NO_REGION: Refusal(503, "Send it again later; no replica is in its regions."),
    Reason.SWITCHING: Refusal(503, "Send the request again after the retry time."),
    Reason.WRONG_VERSION: Refusal(503, "Send the request again; the versions have changed."),
    Reason.DRAINING: Refusal(503, "Send the request again; another process will take it."),
    Reason.NOT_READY: Refusal(503, "Send the request again after the retry time."),
    Reason.QUARANTINED: Refusal(422, "Do not send this content again; it crashes upstreams."),
    Reason.RETRY_BUDGET: Refusal(503, "Send the request again after the retry time."),
    Reason.CANCELLED: Refusal(499, "Nothing to do; the caller went away."),
    Reason.UPSTREAM_LOST: Refusal(502, "Send the request again."),
    Reason.UPSTREAM_ERROR: Refusal(502, "Read the message; correct the request if it is at fault."),
    Reason.INCOMPLETE_ANSWER: Refusal(502, "Discard what arrived and send the request again."),
    Reason.KEY_MISSING: Refusal(400, "Send an idempotency_key; this operation must not repeat."),
    Reason.KEY_MALFORMED: Refusal(
        400, "Send a key of the form <unix ms>-<8 to 64 letters, digits or underscores>."
    ),
    Reason.KEY_EXPIRED: Refusal(410, "Check the outcome, then use a new key with a current time."),
    Reason.KEY_REUSED: Refusal(409, "Use a new key for a request with other content."),
    Reason.UNKNOWN_KEY: Refusal(401, "Send the key of a workspace."),
    Reason.STALE_CONFIGURATION: Refusal(503, "Send the request again after the retry time."),
    Reason.LOG_UNAVAILABLE: Refusal(503, "Send it again with the same key after the retry time."),
    Reason.OUTCOME_UNKNOWN: Refusal(
        504, "Ask for the outcome with the same key; do not use a new key."
    ),
    Reason.INTERNAL_ERROR: Refusal(500, "Report it with the request id; the log has the details."),
}


def refusal(reason: Reason) -> Refusal:
    """Returns the HTTP status code and the remedy for a reason."""
    return _REFUSAL_BY_REASON[reason]
