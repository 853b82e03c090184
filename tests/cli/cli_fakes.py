"""Fakes of the log service and of an entry, served over HTTP on loopback."""

import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit


class LoopbackServer:
    """HTTP server in a thread; subclasses implement `get` and `post`.

    Both return a status and a JSON body, or None to close the connection without a response.
    """

    def __init__(self):
        outer = self

        class Handler(BaseHTTPRequestHandler):
            def do_GET(self):
                outer.respond(self, outer.get(self.path))

            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                outer.respond(self, outer.post(self.path, body))

            def log_message(self, *args):
                pass

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        self.thread = threading.Thread(target=self.server.serve_forever, args=(0.02,))
        self.thread.start()

    def respond(self, handler, result):
        """Sends the result of `get` or `post`."""
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


class FakeLog(LoopbackServer):
    """Log service with the stream `notes`, retention and injected faults."""

    def __init__(self):
        self.records = []
        self.oldest_offset = 0
        self.now = 1000.0
        #: Number of append requests received.
        self.append_requests = 0
        #: Faults of the next appends: `lose` (stored, no response), `drop` (not stored, no
        #: response), `late` (no response, stored at the third read after it), or a status to
        #: refuse with.
        self.append_faults = []
        #: Faults of the next reads: a status to refuse with, or None to close the connection.
        self.read_faults = []
        self._delayed_append = []
        self.lock = threading.Lock()
        super().__init__()

    def add(self, data, id=None):
        """Advances the clock by one second and appends a record."""
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
            self.append_requests += 1
            fault = self.append_faults.pop(0) if self.append_faults else ""
            if isinstance(fault, int):
                return fault, {"error": "refused"}
            if fault == "drop":
                return None
            if fault == "late":
                self._delayed_append = [3, body["records"]]
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
            self._deliver_delayed_append()
            start = max(start, self.oldest_offset)
            return 200, {
                "first": self.oldest_offset,
                "next": len(self.records),
                "now": self.now,
                "records": self.records[start : start + limit],
            }

    def _deliver_delayed_append(self):
        if self._delayed_append:
            self._delayed_append[0] -= 1
            if self._delayed_append[0] <= 0:
                for record in self._delayed_append[1]:
                    self.add(record["data"], record["id"])
                self._delayed_append = []


class FakeEntry(LoopbackServer):
    """Entry that serves one status after another at /v1/status and repeats the last one.

    A status that is an integer is an HTTP error status.
    """

    def __init__(self, *statuses):
        self.statuses = list(statuses)
        super().__init__()

    def get(self, path):
        assert path == "/v1/status"
        status = self.statuses[0]
        if len(self.statuses) > 1:
            self.statuses.pop(0)
        return (200, status) if isinstance(status, dict) else (status, {})
