"""Data centres whose replicas get no requests, by the operators' topic; see docs/design/evacuation.md."""

from __future__ import annotations

from collections.abc import Collection

import attrs

from fescuechute.feeds import Position


@attrs.frozen
class EvacuatedDataCentre:
    """A data centre whose replicas get no requests."""

    #: Unix seconds at which this process learned of the request.
    since: float
    #: Source of the record, such as the address of a relay.
    source: str


class EvacuationTable:
    """Evacuated data centres.

    What a record says holds until one of a later position says otherwise, whichever source it comes from:
    a relay may know less than the source before it. The store may lose an evacuation when it comes back
    from a copy; until the operators have had time to write it again, only its deletion in the new era
    ends it.
    """

    def __init__(self) -> None:
        self._evacuated: dict[str, EvacuatedDataCentre] = {}
        #: Position of the newest known record of each data centre that was ever evacuated.
        self._positions: dict[str, Position] = {}
        self._ended_at: dict[str, float] = {}
        #: Increases when an evacuation starts or ends.
        self.generation = 0

    @property
    def evacuated(self) -> dict[str, EvacuatedDataCentre]:
        """The evacuated data centres by name."""
        return dict(self._evacuated)

    def is_evacuated(self, data_centre: str) -> bool:
        """Returns whether the replicas of a data centre get no requests."""
        return data_centre in self._evacuated

    def ended_at(self, data_centre: str) -> float:
        """Returns the unix seconds at which the last evacuation ended, minus infinity without one."""
        return self._ended_at.get(data_centre, float("-inf"))

    def start(self, data_centre: str, offset: int, now: float, source: str, era: int = 0) -> bool:
        """Applies a record that evacuates a data centre; returns whether that is new.

        Args:
          data_centre: Name of the data centre, known or not.
          offset: Offset of the record.
          now: Unix seconds.
          source: Source of the record.
          era: Era of the offset.
        """
        if not self._is_news(data_centre, Position(era, offset)) or data_centre in self._evacuated:
            return False
        self._evacuated[data_centre] = EvacuatedDataCentre(now, source)
        self.generation += 1
        return True

    def end(self, data_centre: str, offset: int, now: float, era: int = 0) -> bool:
        """Applies the deletion of such a record; returns whether an evacuation has ended."""
        if (
            not self._is_news(data_centre, Position(era, offset))
            or data_centre not in self._evacuated
        ):
            return False
        del self._evacuated[data_centre]
        self._ended_at[data_centre] = now
        self.generation += 1
        return True

    def retain(
        self, data_centres: Collection[str], end: int, now: float, era: int = 0
    ) -> list[str]:
        """Ends the evacuations that a snapshot does not contain, except those known from an older era.

        Args:
          data_centres: Evacuated data centres of the snapshot.
          end: Offset after the last record of the topic as of the snapshot. Evacuations of higher
            offsets are kept.
          now: Unix seconds.
          era: Era of the snapshot.

        Returns:
          The data centres whose evacuation has ended.
        """
        missing = [
            name
            for name in self._evacuated
            if name not in data_centres and self._positions[name].era >= era
        ]
        return [name for name in missing if self.end(name, end - 1, now, era)]

    def expire(self, era: int, now: float) -> list[str]:
        """Ends the evacuations that were not written again in an era.

        Args:
          era: The newest era.
          now: Unix seconds.

        Returns:
          The data centres whose evacuation has ended.
        """
        old = [name for name in self._evacuated if self._positions[name].era < era]
        return [name for name in old if self.end(name, -1, now, era)]

    def _is_news(self, data_centre: str, position: Position) -> bool:
        known = self._positions.get(data_centre)
        if known is not None and position <= known:
            return False
        self._positions[data_centre] = position
        return True
