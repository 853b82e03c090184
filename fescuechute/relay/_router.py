"""Dispatch of the calls to a relay by their topic."""

from __future__ import annotations

from urllib.parse import parse_qs

from fescuechute.forwarding import ClientRequest
from fescuechute.relay._server import RelayServer


class RelayRouter:
    """Passes each call to the server of its topic.

    Args:
      servers: Servers by topic.
    """

    def __init__(self, servers: dict[str, RelayServer]):
        self._servers = servers

    def handle(self, request: ClientRequest) -> None:
        """Answers a call, or rejects it with status 404 if its topic is not relayed."""
        query = request.target.decode("latin-1").partition("?")[2]
        topic = parse_qs(query).get("topic", [""])[0]
        server = self._servers.get(topic)
        if server is None:
            request.response.send(404, [], b"This relay has no such topic.")
        else:
            server.handle(request)

    def tick(self, now: float) -> None:
        """Answers the waiting calls that are due."""
        for server in self._servers.values():
            server.tick(now)

    def is_current(self, now: float) -> bool:
        """Returns whether other processes may rely on the records of all topics."""
        return all(server.is_current(now) for server in self._servers.values())

    def close(self) -> None:
        """Refuses waiting and later calls."""
        for server in self._servers.values():
            server.close()
