"""Trace of one request from the logs of several instances."""

import pytest

from currantmast.commands.requests import (
    RequestUnknown,
    build_trace,
    format_trace,
    parse_line,
)

LINES = [
    'time=T1 level=INFO instance=i1 event=configuration_in_force version=3',
    'time=T2 level=INFO instance=i1 event=configuration_in_force version=4',
    'time=T3 level=INFO instance=i2 event=configuration_in_force version=3',
    'time=T4 level=INFO instance=i1 event=target_listed target=t1 state=ready',
    'time=T4 level=INFO instance=i1 event=target_listed target=t9 state=ready',
    'time=T5 level=INFO instance=i1 event=request_ended request=q1 outcome=unknown '
    'reason=connection_lost targets=t1 error="a \\"quoted\\" text"',
    'time=T6 level=INFO instance=i1 event=configuration_in_force version=5',
    'time=T5 level=INFO instance=i1 event=request_ended request=q2 outcome=answered',
]


def test_trace_has_the_state_at_that_time_and_none_of_later_or_other_instances():
    trace = build_trace('q1', reversed(LINES))
    assert [line.fields['reason'] for line in trace.lines] == ['connection_lost']
    found = [(line.instance, line.event, line.time) for line in trace.beliefs]
    assert found == [
        ('i1', 'configuration_in_force', 'T2'),
        ('i1', 'target_listed', 'T4'),
    ]
    assert 'connection_lost' in format_trace(trace)


def test_trace_lists_silent_members_but_no_recovered_store():
    """Guards against a long trace that hides the one silent member."""
    changes = [
        'time=T1 level=INFO instance=i1 event=member_heard member=i2',
        'time=T1 level=INFO instance=i1 event=member_heard member=i3',
        'time=T2 level=WARNING instance=i1 event=member_silent member=i2',
        'time=T2 level=WARNING instance=i1 event=store_lost topic=targets error=e',
        'time=T3 level=INFO instance=i1 event=store_regained topic=targets',
    ]
    trace = build_trace('q1', [*LINES[4:], *changes])
    events = [(line.event, line.fields.get('member')) for line in trace.beliefs]
    assert ('member_silent', 'i2') in events
    assert ('member_heard', 'i3') not in events
    assert ('store_lost', None) not in events


def test_truncated_lines_and_other_text_are_skipped():
    texts = [*LINES, 'time=T7 level=IN', 'Traceback (most recent call last):', '', '=']
    assert build_trace('q2', texts).lines


def test_quoted_field_is_parsed_with_its_spaces():
    assert parse_line(LINES[5]).fields['error'] == 'a "quoted" text'


def test_unknown_request_is_an_error():
    with pytest.raises(RequestUnknown, match='q7'):
        build_trace('q7', LINES)
