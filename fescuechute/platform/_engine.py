"""Calls of a model engine and of the origin of weights."""

from __future__ import annotations

import enum
import json
from collections.abc import Callable
from urllib.parse import quote

from fescuechute.catalog import EngineReport
from fescuechute.checks import Address
from fescuechute.errors import PlatformError
from fescuechute.net import HttpCall, HttpClient, HttpResult
from fescuechute.platform import _names as names
from fescuechute.platform._records import decode_manifest, decode_report

#: Seconds without a byte after which an engine on the same VM counts as silent.
_LOCAL_SILENCE_S = 1.0
#: The same for the origin, which serves all VMs over one link.
_ORIGIN_SILENCE_S = 1.5


class OrderAnswer(enum.StrEnum):
    """What an engine said to an order."""

    BEGUN = "begun"
    #: In effect already.
    DONE = "done"
    #: It does not fit the state of the engine.
    CONFLICT = "conflict"
    #: Refused for another reason; nothing was begun.
    REFUSED = "refused"
    #: No answer, so the order may have been accepted.
    UNKNOWN = "unknown"


class EngineClient:
    """Calls of the engine on the same VM."""

    def __init__(self, http: HttpClient, address: Address):
        self._http = http
        self._server = (address.ip, address.port)

    def report(self, on_end: Callable[[EngineReport | str], None]) -> None:
        """Asks for the report; passes it on, or the reason why there is none."""

        def ended(result: HttpResult) -> None:
            if not result.ok:
                on_end(result.error or f"status {result.status}")
                return
            try:
                report = decode_report(result.body)
            except PlatformError as exc:
                on_end(str(exc))
                return
            on_end(report)

        self._call("GET", names.REPORT_PATH, ended)

    def load(self, model: str, version: int, on_end: Callable[[OrderAnswer, str], None]) -> None:
        """Orders the engine to load what is staged once its running requests have ended."""
        body = {"operation": "start", "model": model, "version": version, "switch_mode": "queue"}

        def ended(result: HttpResult) -> None:
            on_end(*_order_answer(result))

        self._call("POST", names.ORDER_PATH, ended, json.dumps(body).encode(), fresh=True)

    def stage(self, model: str, index: int, data: bytes, on_end: Callable[[str], None]) -> None:
        """Stages one chunk; passes on an empty text, or the reason why it is not staged."""
        path = f"{names.STAGE_PUT_PATH}/{quote(model, safe='')}?num={index}"
        self._call("PUT", path, lambda result: on_end(_reason(result)), data)

    def staged(self, model: str, index: int, on_end: Callable[[bytes | None], None]) -> None:
        """Reads a staged chunk back; passes on None when there is none."""
        path = f"{names.STAGE_GET_PATH}/{quote(model, safe='')}?num={index}"
        self._call("GET", path, lambda result: on_end(result.body if result.ok else None))

    def _call(
        self,
        method: str,
        path: str,
        on_end: Callable[[HttpResult], None],
        body: bytes = b"",
        fresh: bool = False,
    ) -> None:
        self._http.call(
            method,
            self._server,
            path,
            on_end,
            body=body,
            silence_s=_LOCAL_SILENCE_S,
            fresh=fresh,
        )


class OriginClient:
    """Calls of the origin of weights."""

    def __init__(self, http: HttpClient):
        self._http = http

    def manifest(
        self,
        origin: Address,
        model: str,
        version: int,
        on_end: Callable[[tuple[bytes, ...] | str], None],
    ) -> None:
        """Asks for the SHA-256 digests of a version; passes them on, or the reason why not."""

        def ended(result: HttpResult) -> None:
            if not result.ok:
                on_end(_reason(result))
                return
            try:
                digests = decode_manifest(result.body, model, version)
            except PlatformError as exc:
                on_end(str(exc))
                return
            on_end(digests)

        path = f"{names.MANIFEST_PATH}/{quote(model, safe='')}?version={version}"
        self._call(origin, path, ended)

    def chunk(
        self,
        origin: Address,
        model: str,
        version: int,
        index: int,
        on_end: Callable[[bytes | str], None],
    ) -> HttpCall:
        """Asks for one chunk; passes on its bytes, or the reason why not."""
        path = f"{names.CHUNK_PATH}/{quote(model, safe='')}?num={index}&version={version}"
        return self._call(
            origin, path, lambda result: on_end(result.body if result.ok else _reason(result))
        )

    def _call(self, origin: Address, path: str, on_end: Callable[[HttpResult], None]) -> HttpCall:
        server = (origin.ip, origin.port)
        return self._http.call("GET", server, path, on_end, silence_s=_ORIGIN_SILENCE_S)


def _order_answer(result: HttpResult) -> tuple[OrderAnswer, str]:
    if result.error and not result.sent:
        return OrderAnswer.REFUSED, result.error
    if result.error:
        return OrderAnswer.UNKNOWN, result.error
    detail = f"status {result.status} {result.body[:200].decode('utf-8', 'replace')}"
    answers = {202: OrderAnswer.BEGUN, 200: OrderAnswer.DONE, 409: OrderAnswer.CONFLICT}
    return answers.get(result.status, OrderAnswer.REFUSED), detail


def _reason(result: HttpResult) -> str:
    return "" if result.ok else result.error or f"status {result.status}"
