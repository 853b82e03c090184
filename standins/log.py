"""Append-only log service with a rate limit, retention, outages, lost responses and returns.

Faults: `down`, `delay_s`, `lose_answers` (the next n appends take effect but get no response),
`answer_delay_s` (between the effect of an append and its response), `time_offset_s` (added to the
service's clock), `appends_per_s`, `retention_s` (0 means no limit).

`POST /return` with `{"age_s": ..., "away_s": ...}` makes the service unavailable for `away_s` and
then restores a copy that was `age_s` old when it left. Later records are lost, their offsets are
given out again, and the `era` in the JSON body of each response rises by one.
"""

from __future__ import annotations

import asyncio
import json
import math
import time
from typing import Any, TypeGuard

from aiohttp import web

from standins._server import (
    Faults,
    Handler,
    TokenBucket,
    drop_response,
    error_response,
    make_app,
    make_parser,
    read_json_object,
    run,
)

#: Records per read: the default and the maximum of the `limit` parameter.
DEFAULT_READ_LIMIT = 1000
MAX_READ_LIMIT = 10_000


class Stream:
    """Records with consecutive offsets; the oldest are removed after the retention time."""

    def __init__(self) -> None:
        self.first_offset = 0
        self.records: list[dict[str, Any]] = []

    @property
    def next_offset(self) -> int:
        """The offset of the next record."""
        return self.first_offset + len(self.records)

    def append(self, records: list[dict[str, Any]], now: float) -> int:
        """Appends all records and returns the offset of the first."""
        first_offset = self.next_offset
        for offset, record in enumerate(records, first_offset):
            self.records.append(
                {"offset": offset, "time": now, "id": record["id"], "data": record["data"]}
            )
        return first_offset

    def remove_older_than(self, oldest_time: float) -> None:
        """Removes the records written before `oldest_time`."""
        expired_count = 0
        while (
            expired_count < len(self.records) and self.records[expired_count]["time"] < oldest_time
        ):
            expired_count += 1
        del self.records[:expired_count]
        self.first_offset += expired_count

    def remove_newer_than(self, newest_time: float) -> None:
        """Removes the records written after `newest_time`; their offsets are given out again."""
        while self.records and self.records[-1]["time"] > newest_time:
            self.records.pop()

    def read(self, offset: int, limit: int) -> list[dict[str, Any]]:
        """Returns up to `limit` retained records from an offset on."""
        start_index = max(0, offset - self.first_offset)
        return self.records[start_index : start_index + limit]


class LogService:
    """Streams by name; a stream is created on first use."""

    def __init__(self, faults: Faults):
        self._faults = faults
        self._streams: dict[str, Stream] = {}
        self._rate_limiter = TokenBucket()
        self._append_count = 0
        self._read_count = 0
        self._era = 0

    def _now(self) -> float:
        return time.time() + float(self._faults["time_offset_s"])

    def _stream(self, name: str) -> Stream:
        stream = self._streams.setdefault(name, Stream())
        if self._faults["retention_s"] > 0:
            stream.remove_older_than(self._now() - self._faults["retention_s"])
        return stream

    async def append(self, request: web.Request) -> web.Response:
        if not self._rate_limiter.admit(self._faults["appends_per_s"]):
            return error_response(429, "too many appends")
        body = await read_json_object(request)
        records = body.get("records")
        if not isinstance(records, list) or not records or not all(map(_is_record, records)):
            return error_response(400, "records must be a list of {id: str, data: object}")
        now = self._now()
        stream = self._stream(request.match_info["stream"])
        first_offset = stream.append(records, now)
        self._append_count += 1
        if self._faults.consume("lose_answers"):
            return drop_response(request)
        body = {"first": first_offset, "next": stream.next_offset, "time": now, "era": self._era}
        await asyncio.sleep(self._faults["answer_delay_s"])
        return web.json_response(body)

    async def read(self, request: web.Request) -> web.Response:
        try:
            offset = int(request.query.get("from", "0"))
            limit = int(request.query.get("limit", DEFAULT_READ_LIMIT))
        except ValueError:
            return error_response(400, "from and limit must be numbers")
        self._read_count += 1
        stream = self._stream(request.match_info["stream"])
        if offset > stream.next_offset:
            return error_response(410, f"the stream ends at offset {stream.next_offset}")
        return web.json_response(
            {
                "first": stream.first_offset,
                "next": stream.next_offset,
                "now": self._now(),
                "records": stream.read(offset, min(limit, MAX_READ_LIMIT)),
            }
        )

    async def get_stats(self, _: web.Request) -> web.Response:
        streams = {
            name: {"first": stream.first_offset, "next": stream.next_offset}
            for name, stream in self._streams.items()
        }
        return web.json_response(
            {
                "appends": self._append_count,
                "reads": self._read_count,
                "streams": streams,
                "era": self._era,
            }
        )

    async def restore_copy(self, request: web.Request) -> web.Response:
        """Leaves for `away_s` and returns from a copy that is `age_s` old; responds at the end."""
        body = await read_json_object(request)
        age_s, away_s = body.get("age_s"), body.get("away_s")
        if not _is_duration(age_s) or not _is_duration(away_s):
            return error_response(400, "age_s and away_s must be seconds of 0 or more")
        copied_at = self._now() - age_s
        await self._faults.set({"down": True})
        await asyncio.sleep(away_s)
        for stream in self._streams.values():
            stream.remove_newer_than(copied_at)
        self._era += 1
        await self._faults.set({"down": False})
        return web.json_response({"era": self._era})

    @web.middleware
    async def add_era(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Adds the current era to each JSON object that does not carry one."""
        try:
            response = await handler(request)
        except web.HTTPException as exc:
            response = web.Response(status=exc.status, text=exc.text, content_type=exc.content_type)
        if isinstance(response, web.Response) and response.content_type == "application/json":
            body = json.loads(response.text or "null")
            if isinstance(body, dict) and request.path.startswith("/streams"):
                return web.json_response({"era": self._era, **body}, status=response.status)
        return response


def _is_duration(value: object) -> TypeGuard[float]:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and math.isfinite(value) and value >= 0


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
        answer_delay_s=0.0,
        time_offset_s=0.0,
        appends_per_s=args.appends_per_s,
        retention_s=args.retention_s,
    )
    service = LogService(faults)
    app = make_app(faults, ("/streams",))
    app.middlewares.insert(0, service.add_era)
    app.add_routes(
        [
            web.post("/streams/{stream}/records", service.append),
            web.get("/streams/{stream}/records", service.read),
            web.get("/stats", service.get_stats),
            web.post("/return", service.restore_copy),
        ]
    )
    run(app, args.port)


if __name__ == "__main__":
    main()
