"""Log lines: guards against lines that lose their part, their level or their meaning."""

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
    """Lines of several parts of one process must be told apart."""
    setup("info", "text", stream)
    part_logger("entry").warning("Refused {} requests.", 3)
    line = stream.getvalue()
    assert re.fullmatch(r"\d{4}-\d\d-\d\dT[\d:.]{12}Z warning entry: Refused 3 requests\.\n", line)


def test_json_line_is_one_object(stream):
    """A log collector reads one object a line, even when a message has line breaks."""
    setup("info", "json", stream)
    part_logger("agent").info("a\nb", extra={"upstream": "u1"})
    [line] = stream.getvalue().splitlines()
    data = json.loads(line)
    assert (data["part"], data["level"], data["message"]) == ("agent", "info", "a\nb")
    assert data["extra"] == {"upstream": "u1"}


def test_line_break_in_a_message_stays_on_its_line(stream):
    """A caller's text must not be able to forge a log line."""
    setup("info", "text", stream)
    part_logger("entry").info("Found {}.", "x\n2026 error entry: forged")
    assert len(stream.getvalue().splitlines()) == 1


@pytest.mark.parametrize("format", ["text", "json"])
def test_exception_is_written(stream, format):
    """An unexpected error without its trace cannot be found."""
    setup("info", format, stream)
    try:
        raise KeyError("lost")
    except KeyError:
        part_logger("agent").exception("Unexpected error.")
    assert "KeyError" in stream.getvalue()


def test_lower_levels_are_not_written_anywhere(stream, capsys):
    """Debug lines of a busy entry would take more time than its requests."""
    logger = part_logger("entry")
    setup("warning", "text", stream)
    logger.info("quiet")
    logger.debug("quiet")
    logger.error("loud")
    assert len(stream.getvalue().splitlines()) == 1
    assert capsys.readouterr().err == ""


def test_second_setup_replaces_the_first(stream):
    """Two handlers would write each line twice."""
    setup("debug", "text", stream)
    second = io.StringIO()
    setup("debug", "text", second)
    part_logger("entry").debug("once")
    assert (stream.getvalue(), second.getvalue().count("once")) == ("", 1)


def test_closed_stream_does_not_raise(stream):
    """A lost log reader must not stop the process."""
    closed = io.StringIO()
    setup("info", "text", closed)
    closed.close()
    part_logger("entry").info("unheard")


@pytest.mark.parametrize(("level", "format"), [("loud", "text"), ("info", "xml")])
def test_unknown_level_or_format_is_refused(level, format):
    """A typing error must not silence the log."""
    with pytest.raises(ValueError, match="Found log"):
        setup(level, format)
