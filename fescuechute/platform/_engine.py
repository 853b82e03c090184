"""HTTP clients for a model engine and for the origin of weights."""

from __future__ import annotations

import enum
import json
from collections.abc import Callable
from urllib.parse import quote

from fescuechute.catalog import EngineReport
from fescuechute.checks import Address
from fescuechute.errors import PlatformError
from fescuechute.net import MAX_BODY_BYTES, HttpCall, HttpClient, HttpResult
from fescuechute.platform import _names as names
from fescuechute.platform._records import decode_manifest, decode_report

#: Seconds without received data after which a call to the engine on the same VM fails.
_LOCAL_IDLE_TIMEOUT_S = 1.0
#: The same for the origin; longer, because it serves all VMs over one link.
_ORIGIN_IDLE_TIMEOUT_S = 1.5
#: Seconds for which a connection to the origin is kept between two chunks. The origin accepts few
#: connections, and one that is idle turns away another VM.
_ORIGIN_KEEP_IDLE_S = 0.3
#: Limits in bytes on the report of an engine, and on its responses to calls that return no data.
_MAX_REPORT_BYTES = 256 * 1024
_MAX_REPLY_BYTES = 64 * 1024
#: Maximum number of bytes of a response body that are quoted in a log line.
_MAX_DETAIL_BYTES = 200


class LoadOrderOutcome(enum.StrEnum):
    """Outcome of a load order sent to an engine."""

    #: Accepted; the engine has started to carry it out.
    STARTED = "begun"
    #: Already in effect.
    DONE = "done"
    #: Rejected because it conflicts with the current state of the engine.
    CONFLICT = "conflict"
    #: Rejected for another reason or never sent; the engine did not start anything.
    REFUSED = "refused"
    #: No response or a server error, so the engine may or may not have accepted the order.
    UNKNOWN = "unknown"


class EngineClient:
    """Client of the engine on the same VM."""

    def __init__(self, http: HttpClient, address: Address):
        self._http = http
        self._server = (address.ip, address.port)

    def fetch_report(self, on_end: Callable[[EngineReport | str], None]) -> None:
        """Fetches the load report; calls back with the report or the reason for the failure."""

        def on_result(result: HttpResult) -> None:
            if not result.ok:
                on_end(result.error or f"status {result.status}")
                return
            try:
                report = decode_report(result.body)
            except PlatformError as exc:
                on_end(str(exc))
                return
            on_end(report)

        self._call("GET", names.REPORT_PATH, on_result, max_body_bytes=_MAX_REPORT_BYTES)

    def order_load(
        self,
        model: str,
        version: int,
        on_end: Callable[[LoadOrderOutcome, str], None],
        *,
        expected_orders: int | None,
        send_deadline: float,
    ) -> None:
        """Orders the engine to load the staged version after its active requests have finished.

        Args:
          model: Name of the model.
          version: The version.
          on_end: Called with the outcome and a text for the log.
          expected_orders: Number of orders that the engine must have accepted before, or None.
          send_deadline: Unix seconds after which the order is not sent any more.
        """
        body: dict[str, object] = {"operation": "start", "model": model, "version": version}
        body["switch_mode"] = "queue"
        if expected_orders is not None:
            body["precondition"] = expected_orders
        self._order(body, on_end, send_deadline)

    def order_unload(
        self,
        model: str,
        version: int,
        on_end: Callable[[LoadOrderOutcome, str], None],
        *,
        expected_orders: int,
    ) -> None:
        """Orders the engine to drop a loaded version after its active requests have finished.

        Args:
          model: Name of the model.
          version: The loaded version.
          on_end: Called with the outcome and a text for the log.
          expected_orders: Number of orders that the engine must have accepted before.
        """
        # An order for the loaded version with all layers would change nothing.
        body: dict[str, object] = {"operation": "start", "model": model, "version": version}
        body |= {"switch_mode": "queue"}
        body |= {"from": 0, "to": 0, "precondition": expected_orders}
        self._order(body, on_end)

    def _order(
        self,
        body: dict[str, object],
        on_end: Callable[[LoadOrderOutcome, str], None],
        send_deadline: float = float("inf"),
    ) -> None:
        def on_result(result: HttpResult) -> None:
            on_end(*_classify_order_result(result))

        self._call(
            "POST",
            names.ORDER_PATH,
            on_result,
            json.dumps(body).encode(),
            new_connection=True,
            send_deadline=send_deadline,
        )

    def stage_chunk(
        self, model: str, index: int, data: bytes, on_end: Callable[[str], None]
    ) -> None:
        """Uploads one chunk for staging; calls back with "" or the reason for the failure."""
        path = f"{names.STAGE_PUT_PATH}/{quote(model, safe='')}?num={index}"
        self._call("PUT", path, lambda result: on_end(_failure_reason(result)), data)

    def fetch_staged_chunk(
        self,
        model: str,
        index: int,
        on_end: Callable[[bytes | str | None], None],
        *,
        max_bytes: int,
    ) -> None:
        """Reads back a staged chunk of at most `max_bytes` bytes.

        Calls back with its bytes, None if the engine does not hold it, or the reason for the failure.
        """

        def on_result(result: HttpResult) -> None:
            is_missing = not result.error and result.status == 404
            on_end(result.body if result.ok else None if is_missing else _failure_reason(result))

        path = f"{names.STAGE_GET_PATH}/{quote(model, safe='')}?num={index}"
        self._call("GET", path, on_result, max_body_bytes=max_bytes)

    def _call(
        self,
        method: str,
        path: str,
        on_end: Callable[[HttpResult], None],
        body: bytes = b"",
        new_connection: bool = False,
        send_deadline: float = float("inf"),
        max_body_bytes: int = _MAX_REPLY_BYTES,
    ) -> None:
        self._http.call(
            method,
            self._server,
            path,
            on_end,
            body=body,
            idle_timeout_s=_LOCAL_IDLE_TIMEOUT_S,
            new_connection=new_connection,
            send_deadline=send_deadline,
            max_body_bytes=max_body_bytes,
        )


class OriginClient:
    """Client of the origin of weights."""

    def __init__(self, http: HttpClient):
        self._http = http

    def fetch_manifest(
        self,
        origin: Address,
        model: str,
        version: int,
        on_end: Callable[[tuple[bytes, ...] | str | None], None],
    ) -> None:
        """Fetches the SHA-256 digests of a version's chunks.

        Calls back with the digests, None if the origin does not keep the version any more, or the
        reason for the failure.
        """

        def on_result(result: HttpResult) -> None:
            if not result.error and result.status == 410:
                on_end(None)
                return
            if not result.ok:
                on_end(_failure_reason(result))
                return
            try:
                digests = decode_manifest(result.body, model, version)
            except PlatformError as exc:
                on_end(str(exc))
                return
            on_end(digests)

        path = f"{names.MANIFEST_PATH}/{quote(model, safe='')}?version={version}"
        self._call(origin, path, on_result, keep_idle_s=0.0)

    def fetch_chunk(
        self,
        origin: Address,
        model: str,
        version: int,
        index: int,
        on_end: Callable[[bytes | str], None],
        *,
        max_bytes: int,
    ) -> HttpCall:
        """Fetches one chunk of at most `max_bytes` bytes.

        Calls back with its bytes or the reason for the failure.
        """
        path = f"{names.CHUNK_PATH}/{quote(model, safe='')}?num={index}&version={version}"
        return self._call(
            origin,
            path,
            lambda result: on_end(result.body if result.ok else _failure_reason(result)),
            max_body_bytes=max_bytes,
        )

    def _call(
        self,
        origin: Address,
        path: str,
        on_end: Callable[[HttpResult], None],
        *,
        keep_idle_s: float = _ORIGIN_KEEP_IDLE_S,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> HttpCall:
        return self._http.call(
            "GET",
            (origin.ip, origin.port),
            path,
            on_end,
            idle_timeout_s=_ORIGIN_IDLE_TIMEOUT_S,
            keep_idle_s=keep_idle_s,
            max_body_bytes=max_body_bytes,
        )


def _classify_order_result(result: HttpResult) -> tuple[LoadOrderOutcome, str]:
    if result.error and not result.sent:
        return LoadOrderOutcome.REFUSED, result.error
    if result.error:
        return LoadOrderOutcome.UNKNOWN, result.error
    detail = f"status {result.status} {result.body[:_MAX_DETAIL_BYTES].decode('utf-8', 'replace')}"
    outcome_by_status = {
        202: LoadOrderOutcome.STARTED,
        200: LoadOrderOutcome.DONE,
        409: LoadOrderOutcome.CONFLICT,
    }
    # An engine that fails after it has accepted an order may answer with a server error.
    other = LoadOrderOutcome.UNKNOWN if result.status >= 500 else LoadOrderOutcome.REFUSED
    return outcome_by_status.get(result.status, other), detail


def _failure_reason(result: HttpResult) -> str:
    return "" if result.ok else result.error or f"status {result.status}"
