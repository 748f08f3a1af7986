"""Answers to other requests and earlier configurations must not be accepted."""

import pytest
from samples import make_deployment

from currantmast.clocks import ManualClock
from currantmast.deployment import Configuration, Timing
from currantmast.messages import Address, Member
from currantmast.outcomes import Done, NotRun, OutcomeUnknown
from currantmast.runtime.answers import decode_answer
from currantmast.runtime.forwarding import HopAnswer
from currantmast.steering import Steering

LOCAL = Address('127.0.0.1', 1)


@pytest.mark.parametrize(
    ('request_id', 'body_sent', 'outcome'),
    [
        ('r1', True, Done),
        ('r2', True, OutcomeUnknown),
        ('r2', False, NotRun),
    ],
)
def test_answer_counts_only_for_its_own_request(request_id, body_sent, outcome):
    """Guards against passing on an interchanged or late answer of a peer."""
    headers = (('Outcome', 'done'), ('Request-Id', request_id))
    answer = decode_answer(HopAnswer(200, headers, b'films', body_sent), 'r1')
    assert type(answer.outcome) is outcome
    assert answer.body == (b'films' if outcome is Done else b'')


@pytest.mark.parametrize('late', (4, 5))
def test_configuration_in_force_never_reverts(late):
    """Guards against a late configuration that replaces a newer one."""
    member = Member('a', 'run', 'north', 'n1', LOCAL, LOCAL, LOCAL)
    steering = Steering(ManualClock(), member, Timing())
    deployment = make_deployment()
    assert steering.adopt_configuration(Configuration(5, deployment))
    assert not steering.adopt_configuration(Configuration(late, deployment))
    assert steering.configuration.version == 5
    assert steering.adopt_configuration(Configuration(6, deployment))
    assert steering.configuration.version == 6
