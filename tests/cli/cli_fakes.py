"""A small log service and status server for the tests of this directory."""

import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit


class Server:
    """Runs a handler function on a loopback port."""

    def __init__(self):
        outer = self

        class Handler(BaseHTTPRequestHandler):
            def do_GET(self):
                outer.answer(self, outer.get(self.path))

            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                outer.answer(self, outer.post(self.path, body))

            def log_message(self, *args):
                pass

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        self.thread = threading.Thread(target=self.server.serve_forever, args=(0.02,))
        self.thread.start()

    def answer(self, handler, result):
        """Sends a status and a body; a result of None closes the connection instead."""
        if result is None:
            handler.close_connection = True
            return
        status, body = result
        payload = json.dumps(body).encode()
        handler.send_response(status)
        handler.send_header("Content-Length", str(len(payload)))
        handler.end_headers()
        handler.wfile.write(payload)

    def close(self):
        self.server.shutdown()
        self.server.server_close()
        self.thread.join(10)


class FakeLog(Server):
    """The stream `notes` with offsets, retention and faults."""

    def __init__(self):
        self.records = []
        self.oldest = 0
        self.now = 1000.0
        #: Number of appends that arrived.
        self.posts = 0
        #: What happens to the next appends: `lose` (takes effect, no answer), `drop` (no effect,
        #: no answer), `late` (no answer, visible after three reads), or a status to refuse with.
        self.append_faults = []
        #: Statuses, or None to close the connection, of the next reads.
        self.read_faults = []
        self._late = []
        self.lock = threading.Lock()
        super().__init__()

    def add(self, data, id=None):
        """Appends a record at the next second."""
        self.now += 1
        record = {
            "offset": len(self.records),
            "time": self.now,
            "id": data["id"] if id is None else id,
            "data": data,
        }
        self.records.append(record)
        return record

    def post(self, path, body):
        assert path == "/streams/notes/records"
        with self.lock:
            self.posts += 1
            fault = self.append_faults.pop(0) if self.append_faults else ""
            if isinstance(fault, int):
                return fault, {"error": "refused"}
            if fault == "drop":
                return None
            if fault == "late":
                self._late = [3, body["records"]]
                return None
            first = len(self.records)
            for record in body["records"]:
                self.add(record["data"], record["id"])
            if fault == "lose":
                return None
            return 200, {"first": first, "next": len(self.records), "time": self.now}

    def get(self, path):
        parts = urlsplit(path)
        assert parts.path == "/streams/notes/records"
        query = parse_qs(parts.query)
        start, limit = int(query["from"][0]), int(query["limit"][0])
        with self.lock:
            if self.read_faults:
                fault = self.read_faults.pop(0)
                return fault and (fault, {"error": "refused"})
            self._release_late()
            start = max(start, self.oldest)
            return 200, {
                "first": self.oldest,
                "next": len(self.records),
                "now": self.now,
                "records": self.records[start : start + limit],
            }

    def _release_late(self):
        if self._late:
            self._late[0] -= 1
            if self._late[0] <= 0:
                for record in self._late[1]:
                    self.add(record["data"], record["id"])
                self._late = []


class FakeEntry(Server):
    """Answers /v1/status; after a number of polls it moves to the next status."""

    def __init__(self, *statuses):
        self.statuses = list(statuses)
        super().__init__()

    def get(self, path):
        assert path == "/v1/status"
        status = self.statuses[0]
        if len(self.statuses) > 1:
            self.statuses.pop(0)
        return (200, status) if isinstance(status, dict) else (status, {})
