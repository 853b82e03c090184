"""Options of a soak."""

from __future__ import annotations

from pathlib import Path

import attrs


@attrs.frozen
class Options:
    """Size and length of one play."""

    seed: int
    #: Seconds in which disturbances begin.
    seconds: float = 30.0
    #: Two of a region read the store, the others follow them.
    gateways: int = 6
    replicas: int = 4
    engines: int = 2
    #: Directory that keeps the logs of a play with findings; None leaves them where they are.
    keep: Path | None = None

    @classmethod
    def large(cls, seed: int, seconds: float) -> Options:
        """Returns the options of a play with as many processes as half a machine bears."""
        return cls(seed, seconds, gateways=16, replicas=16, engines=4)
