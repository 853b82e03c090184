"""Draws the disturbances of a play from its seed."""

from __future__ import annotations

import enum
import random

import attrs

from soak._options import Options

#: Seconds from the end of one series of disturbances to the start of the next one.
_CALM_S = (0.5, 4.0)
#: Seconds between two disturbances of a series.
_GAP_S = (0.0, 0.8)
_SERIES_LENGTH = (2, 5)


class Kind(enum.StrEnum):
    """Kinds of disturbances."""

    TERMINATE = "terminate"
    KILL = "kill"
    HANG_UP = "hang_up"
    CONFIGURE = "configure"
    REVOKE = "revoke"
    DECLARE = "declare"
    OUTAGE = "outage"
    RETURN = "return"


#: How often each kind is drawn.
_WEIGHTS = {
    Kind.TERMINATE: 2,
    Kind.KILL: 4,
    Kind.HANG_UP: 1,
    Kind.CONFIGURE: 3,
    Kind.REVOKE: 4,
    Kind.DECLARE: 1,
    Kind.OUTAGE: 2,
    Kind.RETURN: 4,
}
_SIGNALS = (Kind.TERMINATE, Kind.KILL, Kind.HANG_UP)


@attrs.frozen
class Disturbance:
    """One disturbance.

    Attributes:
      after_s: Seconds from the start of the play.
      kind: Its kind.
      target: Name of the process that gets a signal.
      details: Drawn values, by name; times in seconds.
    """

    after_s: float
    kind: Kind
    target: str = ""
    details: dict[str, float | str | int] = attrs.field(factory=dict)


def draw_plan(options: Options) -> list[Disturbance]:
    """Returns the disturbances in the order of their times."""
    rng = random.Random(options.seed)
    plan: list[Disturbance] = []
    after_s = rng.uniform(*_CALM_S)
    while after_s < options.seconds:
        for _ in range(rng.randint(*_SERIES_LENGTH)):
            plan.append(_draw(rng, options, after_s))
            after_s += rng.uniform(*_GAP_S)
        after_s += rng.uniform(*_CALM_S)
    return plan


def _draw(rng: random.Random, options: Options, after_s: float) -> Disturbance:
    kind = rng.choices(list(_WEIGHTS), list(_WEIGHTS.values()))[0]
    if kind in _SIGNALS:
        targets = [f"gateway-{n}" for n in range(options.gateways)] * 2
        targets += [f"stager-{n}" for n in range(options.engines)]
        if kind is not Kind.HANG_UP:
            targets += [f"replica-{n}" for n in range(options.replicas)]
        return Disturbance(after_s, kind, rng.choice(targets), {"down_s": rng.uniform(0.0, 1.5)})
    if kind is Kind.OUTAGE:
        fault = rng.choice(["down", "silent", "turn_away"])
        return Disturbance(after_s, kind, "", {"fault": fault, "for_s": rng.uniform(0.3, 3.0)})
    if kind is Kind.RETURN:
        return Disturbance(after_s, kind, "", _draw_return(rng))
    return Disturbance(after_s, kind)


def _draw_return(rng: random.Random) -> dict[str, float | str | int]:
    return {
        "age_s": rng.uniform(0.1, 4.0),
        "away_s": rng.uniform(0.0, 1.5),
        "connections": rng.choice(["reset", "hang"]),
        "late_answers_s": rng.choice([0.0, 0.0, rng.uniform(0.05, 1.0)]),
        "order": rng.choice(["same", "reversed", "shuffled"]),
        "seed": rng.randrange(1 << 16),
        "after_s": rng.uniform(0.0, 2.0),
        "gap_s": rng.uniform(0.0, 0.3),
    }
