"""Events: guards against parts of events that are passed on, whatever the cuts."""

from hypothesis import given
from hypothesis import strategies as st

from fescuechute.forwarding import EventSplitter


@given(
    st.lists(st.sampled_from([b"x", b"yy", b"zzz"]), max_size=8),
    st.sampled_from([b"\n", b"\r\n"]),
    st.lists(st.integers(1, 9), min_size=1, max_size=20),
)
def test_any_cut_gives_the_same_events(texts, eol, cuts):
    """Guards against a cut inside the blank line."""
    events = [b"id: %d%sdata: %s%s%s" % (n, eol, text, eol, eol) for n, text in enumerate(texts)]
    stream = b"".join(events)
    splitter = EventSplitter()
    found = []
    at = 0
    turn = 0
    while at < len(stream):
        size = cuts[turn % len(cuts)]
        found += splitter.feed(stream[at : at + size])
        at += size
        turn += 1
    assert [event.data for event in found] == events
    assert [event.id for event in found] == list(range(len(events)))
    assert splitter.rest == b""
