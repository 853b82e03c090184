"""Numbers that govern claims. All processes of one system must agree on the first three."""

from __future__ import annotations

import attrs


@attrs.frozen
class ClaimSettings:
    """Settings of claims; times are in seconds."""

    #: Number of log streams that claims are spread over.
    partitions: int = 4
    #: Age up to which a key may be used, and up to which a claim on it counts.
    window_s: float = 600.0
    #: How far a key's time may lie ahead of the log's clock.
    skew_s: float = 5.0
    #: Records are gathered this long before they are appended in one body.
    gather_s: float = 0.005
    #: Records in one append.
    batch_records: int = 64
    #: Approximate bytes in one append; a larger single record goes alone.
    batch_bytes: int = 1 << 20
    #: Records asked for in one read.
    read_limit: int = 1000
    #: Interval of reads while a call waits for an outcome.
    poll_s: float = 0.05
    #: Interval of reads while no call waits. It keeps the catch-up before a claim short.
    idle_poll_s: float = 2.0
    #: Pause before a failed read or append is tried again.
    retry_s: float = 0.25
    #: Added to the present time for the retry time of a refusal.
    refusal_retry_s: float = 1.0
    #: How long a call whose agent link broke waits for the outcome in the log. The agent notices
    #: the broken link after 2 s and then appends the outcome.
    lost_wait_s: float = 5.0
    #: Entries are kept in memory this long after their window, so that a process whose clock is
    #: behind the log's still finds them.
    margin_s: float = 60.0
