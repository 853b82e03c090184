"""Experiments and the demo. They start real processes; the library never does."""
