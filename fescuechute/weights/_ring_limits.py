"""Limits and timeouts of the distribution along a ring."""

from __future__ import annotations

import attrs

#: Number of predecessors in the ring to which an agent keeps links.
PREDECESSORS = 3
#: Number of agents above which each agent also keeps a link to one far behind it. Each agent that passes
#: a chunk on delays it, so that a long ring would take longer than its links require.
MAX_PLAIN_RING = 24
#: Positions that this link skips, in square roots of the number of agents.
SKIP_FACTOR = 1.5


@attrs.frozen
class RingLimits:
    """Limits and timeouts of the ring. Times are in seconds."""

    #: Maximum number of fetches of announced chunks in flight from one peer; also the limit for
    #: chunks requested ahead of their announcement. On a link with a tenth of the usual rate, this
    #: many chunks delay requests queued behind them by some 4 s, about as long as clients wait.
    window: int = 4
    #: The window shrinks to the chunks that arrive within this time. More would only queue in front
    #: of a slow link and delay the requests behind them.
    queue_delay_s: float = 0.3
    #: Lower bound of the window, without which it could not grow again.
    min_window: int = 2
    #: Number of chunks over which the arrival rate is measured.
    rate_sample_chunks: int = 8
    #: Maximum number of fetches in flight from the origin; more would queue in front of requests.
    origin_window: int = 1
    #: Share of the connections accepted by the origin that all agents together may use.
    origin_connection_share: float = 0.5
    #: Time that a chunk may take from the origin while all downloads share its link. Agents that wait
    #: longer than `slow_after_s` or `handover_timeout_s` would download the same chunks again.
    max_download_s: float = 0.5
    #: Time without an announcement of a missing chunk after which a predecessor counts as stalled,
    #: and the number of chunks by which it may lag behind the next predecessor. Beyond either, the
    #: next predecessor is asked too. Both are several times the values of a healthy neighbour; asking
    #: the next predecessor sooner would split its uplink and slow down the whole ring.
    stall_timeout_s: float = 0.8
    max_lag_chunks: int = 20
    #: Time without a chunk from the source of a fetch after which the source counts as slow.
    slow_after_s: float = 0.7
    #: Time without a chunk from its source after which a fetch of an announced chunk is cancelled, and
    #: the time for which the source is then avoided. A fetch ahead of the announcement is cancelled
    #: when its source stalls.
    fetch_timeout_s: float = 1.5
    timeout_avoid_s: float = 1.0
    #: Time for which a peer is avoided after it refused a chunk.
    refusal_avoid_s: float = 0.1
    #: Time for which a peer is avoided after a chunk of its own failed verification; it doubles with
    #: each further one, up to 16 times.
    corrupt_avoid_s: float = 0.5
    #: Time without a new chunk at its predecessors after which an agent downloads the shares of other
    #: agents from the origin too, and the increase of this time for each agent of distance. Because of
    #: the increase, the direct successor of a lost agent does so alone.
    handover_timeout_s: float = 0.8
    handover_step_s: float = 0.1
    #: Time for links to come up after the wanted chunks changed; an agent without a link after that
    #: counts as lost.
    link_setup_s: float = 0.6
    #: Time for a peer to announce what it holds after its link came up.
    announcement_wait_s: float = 0.12
    #: Share of the wanted chunks at or below which missing chunks are downloaded from the origin even
    #: while announcements arrive, because a slow agent announces its share only chunk by chunk.
    endgame_share: float = 0.1
    #: Pause after a failure of the origin before the next attempt.
    origin_pause_s: float = 0.2
