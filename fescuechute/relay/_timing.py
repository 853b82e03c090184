"""Time limits of a relay, as shares of the time in which a configuration must be in force."""

from __future__ import annotations

import attrs

#: Shares of `config_apply_s`. A frozen relay is noticed after `wait` + `silence`, one that is cut off
#: from the store after `stale`; either leaves time for a read from the store itself.
WAIT_SHARE = 0.35
SILENCE_SHARE = 0.1
STALE_SHARE = 0.45
STALLED_SHARE = 0.25
RECEIVE_SHARE = 0.75


@attrs.frozen
class RelayTiming:
    """Time limits in seconds."""

    #: Longest wait of a call for new records.
    wait_s: float
    #: Time without data, beyond the wait, after which a call to a relay fails.
    silence_s: float
    #: Time since the last response of the store from which a relay is not current.
    stale_s: float
    #: Time without data after which a response of the store no longer counts as being received.
    stalled_s: float
    #: Time from the first byte of a response of the store for which a relay that is receiving it stays
    #: current.
    receive_s: float

    @classmethod
    def from_config_apply(cls, config_apply_s: float) -> RelayTiming:
        """Returns the limits for a time in which a configuration must be in force."""
        return cls(
            WAIT_SHARE * config_apply_s,
            SILENCE_SHARE * config_apply_s,
            STALE_SHARE * config_apply_s,
            STALLED_SHARE * config_apply_s,
            RECEIVE_SHARE * config_apply_s,
        )
