"""The measures must count what the report says that they count."""

from test_histories import make_call, make_run

from currantmast.deployment import Team
from currantmast.experiment.histories import Guarantee, Violation
from currantmast.experiment.measures import (
    Latency,
    Measures,
    measure_drain,
    measure_latencies,
    measure_team,
    split_windows,
)
from currantmast.experiment.records import Drain, History
from currantmast.experiment.reports import (
    Report,
    encode_report,
    format_report,
    format_summary,
)


def test_calls_above_the_rate_are_not_counted_as_refused_inside_it():
    team = Team('opal', rate=1, burst=2, services=('orders',))
    outcomes = ('done', 'not-run', 'not-run', 'not-run')
    calls = [
        make_call(str(number), sent=1 + number / 100, outcome=outcome)
        for number, outcome in enumerate(outcomes)
    ]
    served = measure_team(calls, team)
    assert (served.inside, served.answered, served.refused) == (2, 1, 1)


def test_latency_covers_completed_calls_only():
    calls = [
        make_call('a', sent=1.0, ended=1.1),
        make_call('b', sent=1.0, ended=9.0, outcome='unknown'),
    ]
    for row in measure_latencies(calls):
        assert row.answered == 1
        assert 99 < row.p99_ms < 101


def test_drain_time_ends_with_the_last_request_of_the_target():
    run = make_run(started=2.0, ended=4.5)
    drain = Drain(run.target, accepted=3.0, ordered=2.5)
    assert measure_drain(History(executions=[run], drains=[drain])) == 2.0


def test_drain_time_of_an_idle_target_ends_with_the_acceptance():
    drain = Drain('127.20.0.1:80', accepted=3.0, ordered=2.5)
    assert measure_drain(History(drains=[drain])) == 0.5


def test_execution_is_split_at_the_borders_of_the_windows():
    parts = list(split_windows(make_run(started=1.5, ended=3.25)))
    assert parts == [(1, 0.5), (2, 1.0), (3, 0.25)]


def make_report(*violations):
    row = Latency('all', 7, 1.25, 9.5)
    measures = Measures((row,), 0.5, 0.1, 'opal', 0.9, 2, 7, 3, 1)
    return Report('cmd', 4, 'adaptive', 'none', 60, 15, measures, violations)


def test_summary_line_names_all_five_values():
    wrong = Violation(Guarantee.answer, 'c1', 'own=False whole=True')
    other = Violation(Guarantee.rate, 'opal', '9 in 1.000s, allowed 5.00')
    line = format_summary(make_report(wrong, other))
    assert line == 'answered=7 refused=3 wrong=1 p50_ms=1.2 p99_ms=9.5'


def test_table_and_json_name_command_seed_and_violations():
    report = make_report(Violation(Guarantee.rate, 'opal', 'too many'))
    for text in (format_report(report), encode_report(report)):
        assert 'cmd' in text
        assert 'too many' in text
    assert 'seed=4' in format_report(report)
