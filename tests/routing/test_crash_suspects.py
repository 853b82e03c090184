"""Quarantine of contents that crash upstreams: guards against endless crashes and false accusations."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fescuechute.routing import CrashSuspects

D, E, V, W = b"deadly", b"other", b"victim", b"shared"


@pytest.mark.parametrize(
    ("name", "events", "quarantined"),
    [
        ("two crashes", ["1 D", "2 D"], ""),
        ("three crashes", ["1 D", "2 D", "3 D"], "D"),
        ("three reports of two crashes", ["1 D", "2 D", "2 D"], ""),
        ("suspects of one crash from two gateways", ["1 D", "1 V", "2 D", "3 V", "3 D"], "D"),
        ("shared part answered before", ["=W", "1 DW", "2 DW", "3 DW"], "D"),
        ("shared part answered between", ["1 DW", "2 DW", "=W", "3 DW"], "D"),
        ("shared part answered after", ["1 DW", "2 DW", "3 DW", "=W"], "D"),
        ("victim in fewer crashes", ["1 DV", "2 DV", "3 DV", "4 D"], "D"),
        ("victim of two contents", ["1 DV", "2 DV", "3 D", "4 EV", "5 E", "6 E"], "DE"),
        ("victim answered long ago", ["=V", "+9", "=W", "1 DV", "2 DV", "3 DV"], "D"),
        ("answered long before it turned deadly", ["=D", "+9", "=W", "1 D", "2 D", "3 D"], "D"),
        ("nothing was answered for long", ["=W", "=V", "+30", "1 DVW", "2 DVW", "3 DVW"], "D"),
        ("crashes far apart", ["1 D", "+40", "2 D", "+40", "3 D"], ""),
        ("quarantine outlasts the crashes", ["1 D", "2 D", "+55", "3 D", "+28"], "D"),
        ("quarantine ends", ["1 D", "2 D", "3 D", "+31"], ""),
        ("one crash after a quarantine", ["1 D", "2 D", "3 D", "+31", "4 D"], "D"),
        ("second quarantine is longer", ["1 D", "2 D", "3 D", "+31", "4 D", "+119"], "D"),
        ("second quarantine ends", ["1 D", "2 D", "3 D", "+31", "4 D", "+121"], ""),
        ("one crash after an answer", ["1 D", "2 D", "3 D", "+31", "=D", "+9", "=W", "4 D"], ""),
    ],
)  # fmt: skip
def test_named_cases(name, events, quarantined):
    """Guards against a content that goes on crashing upstreams, and against a sound one refused.

    `1 DV`: a crash with its suspects; `=W`: a complete answer; `+9`: seconds pass.
    """
    contents = {"D": D, "E": E, "V": V, "W": W}
    suspects = CrashSuspects()
    now = 1000.0
    for event in events:
        if event[0] == "+":
            now += float(event)
        elif event[0] == "=":
            suspects.record_answer(contents[event[1]], now, now)
        else:
            crash_id, _, names = event.partition(" ")
            suspects.add_crash(crash_id, [contents[letter] for letter in names], now)
        now += 0.01
        suspects.tick(now)
    assert suspects.quarantined == {contents[letter] for letter in quarantined}, name


@given(
    st.lists(
        st.tuples(
            st.lists(st.integers(0, 30), max_size=12),
            st.lists(st.integers(0, 30), max_size=12),
        ),
        min_size=3,
        max_size=12,
    )
)
def test_deadly_content_is_quarantined_and_answered_contents_are_not(crashes):
    """Guards against a verdict that depends on what else was in flight."""
    suspects = CrashSuspects()
    now = 1000.0
    answered = set()
    for number, (in_flight, completed) in enumerate(crashes):
        now += 0.2
        for content in completed:
            suspects.record_answer(b"%d" % content, now, now)
            answered.add(b"%d" % content)
        suspects.add_crash(str(number), [D, *(b"%d" % content for content in in_flight)], now)
        # The crashes take 2.4 s at most, so each answer clears its content of all of them.
        assert not suspects.quarantined & answered
    assert D in suspects.quarantined


@given(st.permutations([("1", D), ("1", V), ("2", D), ("2", V), ("3", D), ("4", D), ("4", W)]))
def test_order_and_repetition_of_reports_do_not_matter(reports):
    """Guards against gateways that disagree because datagrams overtake each other or come twice."""
    suspects = CrashSuspects()
    for crash_id, content in [*reports, *reports]:
        suspects.add_crash(crash_id, [content], 1000.0)
    suspects.tick(1000.1)
    assert suspects.quarantined == {D}
