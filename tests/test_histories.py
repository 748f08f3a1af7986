"""Each check must find the one fault that a small recorded history holds."""

import random

import pytest

from currantmast.deployment import Shift, Target, Team
from currantmast.experiment import histories
from currantmast.experiment.records import (
    Call,
    Drain,
    Execution,
    History,
    Version,
    Withdrawal,
)
from currantmast.experiment.windows import Bound, Span, find_excess
from currantmast.messages import Address

TARGET = Target(
    '127.20.0.1:80', 'orders', 'fife', 'fife-a', Address('127.20.0.1', 80), 2, 9
)


def make_call(call_id='c1', **changes) -> Call:
    fields = {
        'id': call_id,
        'caller': 'p1',
        'site': 'leven',
        'team': 'opal',
        'service': 'orders',
        'kind': 'order',
        'sent': 1.0,
        'ended': 2.0,
        'outcome': 'done',
        'key': 'opal/0',
        'request_id': f'r-{call_id}',
    }
    return Call(**(fields | changes))


def make_run(call_id='c1', **changes) -> Execution:
    fields = {
        'target': TARGET.id,
        'region': 'fife',
        'service': 'orders',
        'call_id': call_id,
        'started': 1.2,
        'ended': 1.8,
        'request_id': f'r-{call_id}',
        'team': 'opal',
    }
    return Execution(**(fields | changes))


@pytest.mark.parametrize('fault', ({'own': False}, {'whole': False}))
def test_answer_of_another_call_or_cut_answer_is_found(fault):
    assert histories.check_answers([make_call()]) == ()
    found = histories.check_answers([make_call('good'), make_call('bad', **fault)])
    assert [violation.subject for violation in found] == ['bad']


def test_refused_call_that_ran_is_found():
    refused = make_call(outcome='not-run', reason='rate_exceeded')
    assert histories.check_refusals([refused], [make_run('other')]) == ()
    assert len(histories.check_refusals([refused], [make_run()])) == 1


def test_refused_resend_is_told_apart_from_the_first_run():
    first = make_call(request_key='k', request_id='r1')
    resend = make_call(
        request_key='k', request_id='r2', outcome='not-run', reason='in_progress'
    )
    own_run = make_run(request_id='r1')
    assert histories.check_refusals([first, resend], [own_run]) == ()
    second_run = make_run(request_id='r2')
    assert len(histories.check_refusals([first, resend], [own_run, second_run])) == 1


def test_second_execution_of_a_request_key_is_found():
    calls = [make_call('c1', request_key='k'), make_call('c2', request_key='k')]
    assert histories.check_at_most_once(calls, [make_run('c1')]) == ()
    found = histories.check_at_most_once(calls, [make_run('c1'), make_run('c2')])
    assert len(found) == 1


def test_second_execution_of_an_order_without_key_is_found():
    runs = [make_run(), make_run()]
    assert len(histories.check_at_most_once([make_call()], runs)) == 1
    lookup = make_call(kind='lookup')
    assert histories.check_at_most_once([lookup], runs) == ()


@pytest.mark.parametrize(
    ('call', 'run'),
    (
        ({'key_valid': False}, {}),
        ({}, {'team': 'flint'}),
        ({}, {'call_id': 'invented'}),
    ),
)
def test_execution_without_the_right_key_is_found(call, run):
    assert histories.check_keys([make_call()], [make_run()]) == ()
    found = histories.check_keys([make_call(**call)], [make_run(**run)])
    assert len(found) == 1


def test_execution_after_withdrawal_is_found():
    history = History([make_call()], [make_run(started=9.0)])
    late = [Withdrawal('opal/0', 8.0)]
    assert histories.check_withdrawals(history, late, 1.0) == ()
    assert len(histories.check_withdrawals(history, late, 0.5)) == 1


def test_key_in_a_target_header_is_found():
    assert histories.check_headers([make_run()]) == ()
    assert len(histories.check_headers([make_run(key_seen=True)])) == 1


def record_burst(times) -> History:
    calls = [make_call(str(number), sent=sent) for number, sent in enumerate(times)]
    runs = [
        make_run(str(number), started=sent + 0.01) for number, sent in enumerate(times)
    ]
    return History(calls, runs)


def test_team_over_rate_and_burst_is_found():
    team = Team('opal', rate=10, burst=5, services=('orders',))
    paced = [1 + number / 10 for number in range(30)]
    assert histories.check_rates(record_burst(paced), [team]) == ()
    crowded = [1 + number / 30 for number in range(30)]
    found = histories.check_rates(record_burst(crowded), [team])
    assert [violation.subject for violation in found] == ['opal']


def test_calls_that_waited_in_a_queue_do_not_count_as_admitted_together():
    team = Team('opal', rate=10, burst=1, services=('orders',))
    history = record_burst([1 + number / 10 for number in range(10)])
    together = [make_run(str(number), started=2.5) for number in range(10)]
    assert histories.check_rates(History(history.calls, together), [team]) == ()


def test_excess_search_agrees_with_trying_every_window():
    generator = random.Random(7)
    exceeding = 0
    for _ in range(400):
        spans = make_spans(generator)
        bound = Bound(rate=generator.uniform(0.5, 9), burst=generator.uniform(1, 9))
        found = find_excess(spans, bound)
        assert (found is not None) == exceeds_somewhere(spans, bound)
        exceeding += found is not None
    assert 100 < exceeding < 300


def make_spans(generator) -> list[Span]:
    starts = [generator.uniform(0, 3) for _ in range(generator.randint(1, 25))]
    return [Span(start, start + generator.uniform(0, 0.4)) for start in starts]


def exceeds_somewhere(spans, bound) -> bool:
    for first in spans:
        for last in spans:
            inside = [s for s in spans if first.start <= s.start and s.end <= last.end]
            allowed = bound.burst + bound.rate * (last.end - first.start)
            if inside and len(inside) > allowed + 1e-9:
                return True
    return False


def test_shift_over_its_cap_is_found():
    shift = Shift('s1', 'leven', 'strathclyde', 'fife', 0.5, cap_rate=10)
    paced = record_burst([1 + number / 9 for number in range(30)])
    assert histories.check_shifts(paced, [shift]) == ()
    crowded = record_burst([1 + number / 20 for number in range(30)])
    found = histories.check_shifts(crowded, [shift])
    assert [violation.subject for violation in found] == ['s1']


def test_more_running_than_slots_is_found():
    targets = {TARGET.id: TARGET}
    runs = [make_run('c1'), make_run('c2'), make_run('c3', started=1.8, ended=2.0)]
    assert histories.check_slots(runs, targets) == ()
    runs.append(make_run('c4', started=1.5))
    found = histories.check_slots(runs, targets)
    assert [violation.subject for violation in found] == [TARGET.id]


def test_start_on_a_drained_target_is_found():
    drains = [Drain(TARGET.id, accepted=1.0, undone=9.0)]
    allowed = [make_run(started=3.9), make_run(started=9.5)]
    assert histories.check_drains(allowed, drains, grace_s=3) == ()
    assert len(histories.check_drains([make_run(started=4.1)], drains, grace_s=3)) == 1


def test_return_to_an_earlier_version_is_found():
    reports = [Version('i1', 1.0, 4), Version('i2', 1.1, 3), Version('i1', 1.2, 5)]
    assert histories.check_versions(reports) == ()
    found = histories.check_versions([*reports, Version('i1', 1.3, 4)])
    assert [violation.subject for violation in found] == ['i1']
