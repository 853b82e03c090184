"""Logging: guards against lost, duplicate, forged and unattributable log lines."""

import io
import json
import re

import pytest

from fescuechute.logs import part_logger, setup


@pytest.fixture
def stream():
    made = io.StringIO()
    yield made
    setup("error", "text")


def test_text_line_carries_level_and_part(stream):
    """The lines of different parts of one process must be distinguishable."""
    setup("info", "text", stream)
    part_logger("entry").warning("Refused {} requests.", 3)
    line = stream.getvalue()
    assert re.fullmatch(r"\d{4}-\d\d-\d\dT[\d:.]{12}Z warning entry: Refused 3 requests\.\n", line)


def test_json_record_is_one_line(stream):
    """Log collectors read one object per line, so a line break in a message must be escaped."""
    setup("info", "json", stream)
    part_logger("agent").info("a\nb", extra={"upstream": "u1"})
    [line] = stream.getvalue().splitlines()
    data = json.loads(line)
    assert (data["part"], data["level"], data["message"]) == ("agent", "info", "a\nb")
    assert data["extra"] == {"upstream": "u1"}


def test_line_break_in_a_text_message_is_escaped(stream):
    """Guards against text from a caller that forges a log line."""
    setup("info", "text", stream)
    part_logger("entry").info("Found {}.", "x\n2026 error entry: forged")
    assert len(stream.getvalue().splitlines()) == 1


@pytest.mark.parametrize("format", ["text", "json"])
def test_exception_is_logged(stream, format):
    """Unexpected errors cannot be located without a traceback."""
    setup("info", format, stream)
    try:
        raise KeyError("lost")
    except KeyError:
        part_logger("agent").exception("Unexpected error.")
    assert "KeyError" in stream.getvalue()


def test_lower_levels_are_not_written_anywhere(stream, capsys):
    """Guards against debug lines that cost a busy entry more time than its requests."""
    logger = part_logger("entry")
    setup("warning", "text", stream)
    logger.info("quiet")
    logger.debug("quiet")
    logger.error("loud")
    assert len(stream.getvalue().splitlines()) == 1
    assert capsys.readouterr().err == ""


def test_second_setup_replaces_the_first(stream):
    """Guards against two handlers that write each line twice."""
    setup("debug", "text", stream)
    second = io.StringIO()
    setup("debug", "text", second)
    part_logger("entry").debug("once")
    assert (stream.getvalue(), second.getvalue().count("once")) == ("", 1)


def test_closed_stream_does_not_raise(stream):
    """A closed log stream must not stop the process."""
    closed = io.StringIO()
    setup("info", "text", closed)
    closed.close()
    part_logger("entry").info("unheard")


@pytest.mark.parametrize(("level", "format"), [("loud", "text"), ("info", "xml")])
def test_unknown_level_or_format_is_rejected(level, format):
    """Guards against a misspelt setting that disables logging."""
    with pytest.raises(ValueError, match="Found log"):
        setup(level, format)
