"""Header fields: guards against keys and fields that reach a replica, and against wrong promises."""

from fescuechute.catalog import Onward
from fescuechute.platform import decode_answer, decode_request, encode_onward, is_answer_to

SENT = [
    (b"Host", b"a.example"),
    (b"X-Fescuechute-Request-Id", b"9c41"),
    (b"Authorization", b"Token secret"),
    (b"X-Fescuechute-Deadline-Ms", b"6038"),
    (b"X-Fescuechute-Token-Count", b"1460,80"),
    (b"X-Fescuechute-Tenant", b"forged"),
    (b"X-Fescuechute-Target-Instance", b"forged"),
    (b"X-Other", b"kept"),
]


def test_decode_request():
    """Guards against a deadline that is taken for a point in time."""
    meta = decode_request(SENT)
    assert (meta.request_id, meta.key, meta.patience_s) == ("9c41", "secret", 6.038)
    assert (meta.prompt_tokens, meta.max_tokens) == (1460, 80)


def test_what_cannot_be_read_counts_as_not_said():
    """Guards against a malformed field that ends the process."""
    meta = decode_request([(b"Authorization", b"Basic x"), (b"X-Fescuechute-Deadline-Ms", b"-")])
    assert (meta.key, meta.patience_s, meta.prompt_tokens) == (None, None, 0)


def test_onward_fields_replace_those_of_the_client():
    """Guards against a key, or a forged field, that reaches a replica."""
    onward = Onward("i-1", "taller", 1.5, 2, 3, 12)
    fields = encode_onward([*SENT, (b"Last-Event-Id", b"4")], onward)
    values = {name.lower(): value for name, value in fields}
    assert len(values) == len(fields), "no field is there twice"
    assert b"authorization" not in values
    assert values[b"x-fescuechute-target-instance"] == b"i-1"
    assert values[b"x-fescuechute-tenant"] == b"taller"
    assert values[b"x-fescuechute-deadline-ms"] == b"1500"
    assert values[b"x-fescuechute-expect-version"] == b"3"
    assert values[b"last-event-id"] == b"12"
    assert values[b"x-other"] == b"kept"


def test_only_the_replicas_own_word_means_not_run():
    """Guards against a promise that the replica did not make."""
    assert decode_answer(503, [(b"X-Fescuechute-Not-Executed", b"1")]).not_run
    assert decode_answer(421, []).not_run
    assert not decode_answer(503, []).not_run
    assert not decode_answer(500, [(b"X-Fescuechute-Response-Seal", b"s")]).not_run


def test_encoded_bodies_are_not_sealed():
    """Guards against bytes that something between us and the replica changed."""
    seal = (b"X-Fescuechute-Response-Seal", b"s")
    assert decode_answer(200, [seal]).sealed
    assert not decode_answer(200, [seal, (b"Content-Encoding", b"gzip")]).sealed
    assert not decode_answer(200, []).sealed


def test_an_answer_to_another_request_is_recognised():
    """Guards against late answers that reach the wrong client."""
    assert is_answer_to("9c41", [(b"X-Fescuechute-Request-Id", b"9c41")])
    assert not is_answer_to("9c41", [(b"X-Fescuechute-Request-Id", b"0000")])
