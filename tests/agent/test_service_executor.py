"""Calls at the service of an agent."""

import json
from types import SimpleNamespace

import pytest

from fescuechute.agent._service import ServiceExecutor
from fescuechute.agent._work import WorkRow
from fescuechute.net import HttpResult, ManualClock
from fescuechute.wire import Call, End


@pytest.mark.parametrize("own", ["000", 0, 1000, "ok", None, True, 2.5, [200]], ids=str)
@pytest.mark.parametrize("claim_id", ["", "e/1"])
def test_member_of_the_answer_is_not_taken_for_its_status(own, claim_id):
    """Guards against a caller that gets the member `status` of a service's answer as HTTP status."""
    sent, on_ends = [], []
    node = SimpleNamespace(
        clock=ManualClock(),
        http=SimpleNamespace(call=lambda *args, **_options: on_ends.append(args[3])),
        hub=SimpleNamespace(send=lambda _peer, msg: sent.append(msg)),
        count=lambda _name: None,
    )
    table = SimpleNamespace(finish=lambda _row, _now: None)
    executor = ServiceExecutor(node, table, ("127.0.0.1", 1))
    msg = Call("r", 1, "s", "book", "{}", "w", "urgent", 9.0, "k", claim_id, 0)
    executor.start(WorkRow("entry-1", msg))
    on_ends[0](HttpResult(404, json.dumps({"status": own, "item": 1}).encode(), "", sent=True))
    assert isinstance(sent[-1], End)
    assert json.loads(sent[-1].body) == {"status": 404, "item": 1}
