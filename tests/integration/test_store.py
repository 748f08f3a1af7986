"""An outage of the store must refuse only what needs the store."""

import time

import gevent

from currantmast.deployment import ServiceKind
from currantmast.experiment.disturbances import stop_store
from currantmast.experiment.load import LoadShape
from currantmast.experiment.scenarios import Scenario, count_unanswered
from currantmast.outcomes import Reason

RATE = 60
OUTAGE_S = 8
SETTLE_S = 2


def test_outage_refuses_keyed_orders_only(fleet):
    with Scenario(fleet, 'outage', seed=4) as scenario:
        scenario.start(LoadShape(RATE, OUTAGE_S + 2 * SETTLE_S))
        gevent.sleep(SETTLE_S)
        with stop_store(fleet):
            began = time.monotonic()
            gevent.sleep(OUTAGE_S)
        scenario.join()
        assert scenario.inspect() == ()
        during = [
            call
            for call in scenario.calls
            if began + 1 < call.sent < began + OUTAGE_S - 1
        ]
        others = [call for call in during if call.kind != ServiceKind.order]
        keyed = [call for call in during if call.kind == ServiceKind.order]
        assert count_unanswered(others, (Reason.rate_exceeded,)) == {}
        refusals = (Reason.rate_exceeded, Reason.claims_unavailable)
        assert count_unanswered(keyed, refusals) == {}
        assert Reason.claims_unavailable in {call.reason for call in keyed}


def test_orders_without_request_key_go_on_during_an_outage(fleet):
    shape = LoadShape(20, OUTAGE_S / 2, kinds=(ServiceKind.order,), keyed=False)
    with Scenario(fleet, 'unkeyed', seed=5) as scenario, stop_store(fleet):
        scenario.run(shape)
        assert scenario.inspect() == ()
        assert count_unanswered(scenario.calls, (Reason.rate_exceeded,)) == {}


def test_lost_answers_of_the_store_cause_no_second_execution(fleet):
    shape = LoadShape(30, 4, kinds=(ServiceKind.order,))
    with Scenario(fleet, 'lost', seed=6) as scenario:
        scenario.start(shape)
        for _ in range(8):
            fleet.set_store_fault(lose_answers=3)
            gevent.sleep(0.5)
        fleet.set_store_fault(lose_answers=0)
        scenario.join()
        assert scenario.inspect() == ()
        assert 'done' in {call.outcome for call in scenario.calls}
