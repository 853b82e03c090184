"""A single call to a relay for all of its records."""

from __future__ import annotations

from collections.abc import Callable
from urllib.parse import quote

from fescuechute.errors import WireError
from fescuechute.feeds import RecordBatch
from fescuechute.net import HttpClient, HttpResult
from fescuechute.relay._codec import decode_batch
from fescuechute.relay._log import RECORDS_PATH
from fescuechute.relay._sources import RelayAddress

#: Seconds without data after which a call fails.
TIMEOUT_S = 0.5


def request_records(
    http: HttpClient,
    topic: str,
    relay: RelayAddress,
    on_end: Callable[[RecordBatch | None], None],
    era: int | None = None,
) -> None:
    """Requests the records of a topic without waiting for new ones.

    Args:
      http: Client for the call.
      topic: Name of the topic.
      relay: The relay.
      on_end: Called once with the records, or with None if the call failed or was refused.
      era: Newest era that this process has seen, of which the relay learns.
    """

    def on_result(result: HttpResult) -> None:
        batch = None
        if result.ok:
            try:
                batch = decode_batch(result.body, f"{relay.ip}:{relay.port}", result.transfer_s)
            except WireError:
                batch = None
        on_end(batch)

    path = f"{RECORDS_PATH}?topic={quote(topic)}&from=0&wait_ms=0"
    if era is not None:
        path += f"&era={era}"
    http.call("GET", (relay.ip, relay.port), path, on_result, idle_timeout_s=TIMEOUT_S)
