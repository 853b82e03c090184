"""Append-only log service with rate limit, retention, outages and lost answers.

Faults: `down`, `delay_s`, `lose_answers` (the next n appends take effect without an answer),
`time_offset_s` (added to the log's clock), `appends_per_s` and `retention_s` (0 means no limit).
"""

from __future__ import annotations

import time
from typing import Any

from aiohttp import web

from standins._server import (
    Faults,
    TokenBucket,
    error,
    lose_answer,
    make_app,
    make_parser,
    read_object,
    run,
)

#: Records in one answer when the reader names no limit, and at most.
DEFAULT_LIMIT = 1000
MAX_LIMIT = 10_000


class Stream:
    """Records with consecutive offsets; the oldest are removed by age."""

    def __init__(self) -> None:
        self.first = 0
        self.records: list[dict[str, Any]] = []

    @property
    def next(self) -> int:
        """The offset of the next record."""
        return self.first + len(self.records)

    def append(self, records: list[dict[str, Any]], now: float) -> int:
        """Appends all records and returns the offset of the first."""
        first = self.next
        for offset, record in enumerate(records, first):
            self.records.append(
                {"offset": offset, "time": now, "id": record["id"], "data": record["data"]}
            )
        return first

    def remove_before(self, oldest_time: float) -> None:
        """Removes records older than a time."""
        kept = 0
        while kept < len(self.records) and self.records[kept]["time"] < oldest_time:
            kept += 1
        del self.records[:kept]
        self.first += kept

    def read(self, offset: int, limit: int) -> list[dict[str, Any]]:
        """Returns retained records from an offset on."""
        begin = max(0, offset - self.first)
        return self.records[begin : begin + limit]


class LogService:
    """Streams by name, created by their first use."""

    def __init__(self, faults: Faults):
        self._faults = faults
        self._streams: dict[str, Stream] = {}
        self._bucket = TokenBucket()
        self._appends = 0
        self._reads = 0

    def _now(self) -> float:
        return time.time() + float(self._faults["time_offset_s"])

    def _stream(self, name: str) -> Stream:
        stream = self._streams.setdefault(name, Stream())
        if self._faults["retention_s"] > 0:
            stream.remove_before(self._now() - self._faults["retention_s"])
        return stream

    async def append(self, request: web.Request) -> web.Response:
        if not self._bucket.admit(self._faults["appends_per_s"]):
            return error(429, "too many appends")
        body = await read_object(request)
        records = body.get("records")
        if not isinstance(records, list) or not records or not all(map(_is_record, records)):
            return error(400, "records must be a list of {id: str, data: object}")
        now = self._now()
        stream = self._stream(request.match_info["stream"])
        first = stream.append(records, now)
        self._appends += 1
        if self._faults.take("lose_answers"):
            return lose_answer(request)
        return web.json_response({"first": first, "next": stream.next, "time": now})

    async def read(self, request: web.Request) -> web.Response:
        try:
            offset = int(request.query.get("from", "0"))
            limit = int(request.query.get("limit", DEFAULT_LIMIT))
        except ValueError:
            return error(400, "from and limit must be numbers")
        self._reads += 1
        stream = self._stream(request.match_info["stream"])
        return web.json_response(
            {
                "first": stream.first,
                "next": stream.next,
                "now": self._now(),
                "records": stream.read(offset, min(limit, MAX_LIMIT)),
            }
        )

    async def stats(self, _: web.Request) -> web.Response:
        streams = {
            name: {"first": stream.first, "next": stream.next}
            for name, stream in self._streams.items()
        }
        return web.json_response(
            {"appends": self._appends, "reads": self._reads, "streams": streams}
        )


def _is_record(record: object) -> bool:
    return (
        isinstance(record, dict)
        and isinstance(record.get("id"), str)
        and isinstance(record.get("data"), dict)
    )


def main() -> None:
    """Runs the log service."""
    parser = make_parser(__doc__)
    parser.add_argument("--appends-per-s", type=float, default=0.0, help="0 means no limit")
    parser.add_argument("--retention-s", type=float, default=0.0, help="0 keeps all records")
    args = parser.parse_args()
    faults = Faults(
        down=False,
        delay_s=0.0,
        lose_answers=0,
        time_offset_s=0.0,
        appends_per_s=args.appends_per_s,
        retention_s=args.retention_s,
    )
    service = LogService(faults)
    app = make_app(faults, ("/streams",))
    app.add_routes(
        [
            web.post("/streams/{stream}/records", service.append),
            web.get("/streams/{stream}/records", service.read),
            web.get("/stats", service.stats),
        ]
    )
    run(app, args.port)


if __name__ == "__main__":
    main()
