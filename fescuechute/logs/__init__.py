"""Temporary until the logs package lands."""
import logbook
def part_logger(name): return logbook.Logger(name)
