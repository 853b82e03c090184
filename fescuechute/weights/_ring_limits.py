"""Numbers that govern the distribution along a ring."""

from __future__ import annotations

import attrs

#: Agents before this one in the ring to which links are kept.
PREDECESSORS = 3


@attrs.frozen
class RingLimits:
    """Numbers that govern the ring. Times are in seconds."""

    #: Fetches of announced chunks in flight from one source, and the same for chunks that the agent
    #: before this one is asked for ahead. A link of a tenth of the usual rate then holds back what is
    #: behind them for some 4 s, about as long as clients wait.
    window: int = 4
    #: The window shrinks to what arrives within a time, since more would only queue in front of a
    #: slow link, and requests behind it; at least some, or it could not grow again.
    queue_s: float = 0.3
    least_window: int = 2
    #: Chunks over which the rate of arrival is taken.
    rate_chunks: int = 8
    #: The same for the origin; more would queue in front of requests.
    origin_window: int = 1
    #: Connections that all agents together have to the origin at most, as a part of what it accepts.
    origin_share: float = 0.5
    #: Time without an announcement after which a nearer agent counts as stalled, and the chunks by
    #: which it may be behind the next one; then that one is asked too. Both are several times what a
    #: healthy neighbour shows. Asking it sooner would split its link and slow the whole ring.
    stall_s: float = 0.8
    lag_chunks: int = 20
    #: Time without a chunk from the source of a fetch from which on it counts as slow.
    slow_s: float = 0.7
    #: Time without a chunk from its source after which a fetch of an announced chunk is given up, and
    #: for which the source is avoided then. One that was asked for ahead is given up when its source
    #: stalls.
    fetch_s: float = 1.5
    avoid_s: float = 1.0
    #: Time for which a source is avoided after it refused a chunk.
    refused_s: float = 0.1
    #: Time without a new chunk at the agents before it after which an agent draws the shares of others
    #: too; grows with the distance, so that the one right behind a lost agent does it alone.
    takeover_s: float = 0.8
    takeover_step_s: float = 0.1
    #: Time after the wanted chunks changed in which links may come up; an agent without a link then
    #: counts as lost.
    links_s: float = 0.6
    #: Time after a link came up in which the agent behind it tells what it holds.
    announce_s: float = 0.12
    #: Part of the wanted chunks below which the missing ones are drawn without regard to news: a slow
    #: agent gives its share piece by piece.
    endgame_share: float = 0.1
    #: Pause after a failure of the origin.
    origin_pause_s: float = 0.2
