"""The story of one request from several logs."""

import pytest

from currantmast.commands.requests import (
    RequestUnknown,
    format_story,
    parse_line,
    tell_story,
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


def test_story_has_the_beliefs_in_force_and_no_later_or_foreign_ones():
    story = tell_story('q1', reversed(LINES))
    assert [line.fields['reason'] for line in story.lines] == ['connection_lost']
    found = [(line.instance, line.event, line.time) for line in story.beliefs]
    assert found == [
        ('i1', 'configuration_in_force', 'T2'),
        ('i1', 'target_listed', 'T4'),
    ]
    assert 'connection_lost' in format_story(story)


def test_story_names_silent_members_and_no_dependency_that_is_back():
    """Guards against a long story in which the one missing member is lost."""
    changes = [
        'time=T1 level=INFO instance=i1 event=member_heard member=i2',
        'time=T1 level=INFO instance=i1 event=member_heard member=i3',
        'time=T2 level=WARNING instance=i1 event=member_silent member=i2',
        'time=T2 level=WARNING instance=i1 event=store_lost topic=targets error=e',
        'time=T3 level=INFO instance=i1 event=store_regained topic=targets',
    ]
    story = tell_story('q1', [*LINES[4:], *changes])
    events = [(line.event, line.fields.get('member')) for line in story.beliefs]
    assert ('member_silent', 'i2') in events
    assert ('member_heard', 'i3') not in events
    assert ('store_lost', None) not in events


def test_cut_and_foreign_lines_are_passed_over():
    texts = [*LINES, 'time=T7 level=IN', 'Traceback (most recent call last):', '', '=']
    assert tell_story('q2', texts).lines


def test_quoted_fields_are_read_whole():
    assert parse_line(LINES[5]).fields['error'] == 'a "quoted" text'


def test_unknown_request_is_an_error():
    with pytest.raises(RequestUnknown, match='q7'):
        tell_story('q7', LINES)
