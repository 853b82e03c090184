"""Time limits of a relay, as shares of the time in which a record must be known everywhere."""

from __future__ import annotations

import attrs

#: Shares of `config_apply_s`. A frozen relay is noticed after `wait` + `silence`, one that is cut off
#: from the store after `stale`; either leaves time for a read from the store itself.
WAIT_SHARE = 0.35
SILENCE_SHARE = 0.1
STALE_SHARE = 0.45
STALLED_SHARE = 0.25
#: Share for which a call of a relay waits at the store. A record is dated by the call before the one that
#: returned it, so bounds that are counted from its date end up to this much early.
STORE_WAIT_SHARE = 0.1
#: Shares of the bound of a topic that readers poll. The interval of their calls, a wait of a follower
#: and the silence of a frozen relay together stay below the bound.
POLLED_WAIT_SHARE = 0.25
POLLED_STALE_SHARE = 0.2


@attrs.frozen
class RelayTiming:
    """Time limits in seconds."""

    #: Longest wait of a call for new records.
    wait_s: float
    #: The same for a call of a relay at the store.
    store_wait_s: float
    #: Time without data, beyond the wait, after which a call to a relay fails.
    silence_s: float
    #: Time since the last response of the store from which a relay is not current.
    stale_s: float
    #: Time without data after which a response of the store no longer counts as being received.
    stalled_s: float

    @classmethod
    def from_config_apply(cls, config_apply_s: float) -> RelayTiming:
        """Returns the limits for a time in which a configuration must be in force."""
        return cls(
            WAIT_SHARE * config_apply_s,
            STORE_WAIT_SHARE * config_apply_s,
            SILENCE_SHARE * config_apply_s,
            STALE_SHARE * config_apply_s,
            STALLED_SHARE * config_apply_s,
        )

    @classmethod
    def from_polling(cls, interval_s: float, bound_s: float) -> RelayTiming:
        """Returns the limits for a topic that readers poll.

        Args:
          interval_s: Seconds between two calls of a reader to the store.
          bound_s: Seconds within which a record must be known everywhere.
        """
        return cls(
            POLLED_WAIT_SHARE * bound_s,
            POLLED_WAIT_SHARE * bound_s,
            SILENCE_SHARE * bound_s,
            interval_s + POLLED_STALE_SHARE * bound_s,
            STALLED_SHARE * bound_s,
        )
