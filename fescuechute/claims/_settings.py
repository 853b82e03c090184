"""Settings of claims.

All processes of one system must use the same `partitions`, `window_s` and `skew_s`.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class ClaimSettings:
    """Settings of claims; durations are in seconds."""

    #: Number of log streams over which claims are partitioned.
    partitions: int = 4
    #: Maximum age of a key. Calls with an older key are refused, and claims that are logged later
    #: have no effect.
    window_s: float = 600.0
    #: Tolerated clock skew: how far a key's time may be ahead of the log's clock.
    skew_s: float = 5.0
    #: How long records are gathered into a batch before it is appended.
    gather_s: float = 0.005
    #: Maximum number of records in one append.
    batch_records: int = 64
    #: Approximate maximum bytes of one append; a larger record is appended alone.
    batch_bytes: int = 1 << 20
    #: Maximum number of records requested in one read.
    read_limit: int = 1000
    #: Interval between reads while a call waits for a record of the partition.
    poll_s: float = 0.05
    #: Interval between reads while no call waits. Idle reads keep the view recent, so that little
    #: has to be read before the next claim.
    idle_poll_s: float = 2.0
    #: Delay before a failed read or append is retried.
    retry_s: float = 0.25
    #: Delay after a refusal until the caller may retry.
    refusal_retry_s: float = 1.0
    #: How long a call waits for its outcome in the log after the link to its agent was lost. The
    #: agent detects the lost link after 2 s and then appends the outcome.
    lost_wait_s: float = 5.0
    #: How long scopes stay in memory after their window has ended, so that a process whose clock is
    #: behind the log's still finds them.
    margin_s: float = 60.0
    #: Interval between batches of records that are appended again after the log returned from a
    #: copy. The first batch of a process is delayed by a part of it.
    restore_interval_s: float = 1.0
