"""A soak of the whole system: seeded disturbances that come in series and overlap, under load.

`python -m soak --seed N --seconds S` plays one seed and prints what it found.
"""

from soak._options import Options
from soak._player import Played, play

__all__ = ["Options", "Played", "play"]
