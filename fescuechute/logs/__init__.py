"""Log lines."""
import sys
import logbook


def part_logger(name):
    return logbook.Logger(name)


def setup(level, format, stream=sys.stderr):
    logbook.StreamHandler(stream, level=level.upper()).push_application()
