import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from currantmast.clocks import ManualClock
from currantmast.decisions.admission import (
    Admission,
    AdmissionRequest,
    Admitted,
    digest_key,
)
from currantmast.deployment import (
    Base,
    Configuration,
    Deployment,
    Operations,
    Service,
    ServiceKind,
    Team,
)
from currantmast.outcomes import NotRun, Reason

KEY, OTHER_KEY, ISSUED_KEY = 'key-of-east', 'key-of-west', 'key-issued-later'
WALL = 1_000_000_000


class FakeLease:
    valid = True

    def is_valid(self):
        return self.valid

    def explain(self):
        return 'fixed'


class FakeShares:
    def __init__(self):
        self.left = {'team:east': 2, 'team:west': 1}
        self.taken = []

    def take(self, budget, amount=1):
        if self.left[budget] < amount:
            return False
        self.left[budget] -= amount
        self.taken.append(budget)
        return True


def make_configuration(version=1, withdrawn=()):
    services = (
        Service('catalogue', ServiceKind.lookup, 2000, 1000),
        Service('orders', ServiceKind.order, 3000, 1000),
        Service('news', ServiceKind.lookup, 1000, open_to_all=True),
    )
    teams = (
        Team('east', 1, 1, ('catalogue', 'orders'), (digest_key(KEY).upper(),)),
        Team('west', 1, 1, ('orders',), (digest_key(OTHER_KEY),)),
    )
    operations = Operations(
        issued_keys={digest_key(ISSUED_KEY): 'west'},
        withdrawn_keys=tuple(map(digest_key, withdrawn)),
    )
    base = Base('test', (), (), services, (), teams)
    return Configuration(version, Deployment(base, (), operations))


@pytest.fixture
def admission():
    subject = Admission(ManualClock(0, WALL), FakeLease(), FakeShares())
    subject.set_configuration(make_configuration())
    return subject


REFUSALS = (
    (AdmissionRequest('films', KEY), Reason.service_unknown),
    (AdmissionRequest('catalogue'), Reason.key_unknown),
    (AdmissionRequest('catalogue', 'wrong'), Reason.key_unknown),
    (AdmissionRequest('news', 'wrong'), Reason.key_unknown),
    (AdmissionRequest('catalogue', OTHER_KEY), Reason.service_not_allowed),
    (AdmissionRequest('orders', KEY, deadline_s=0), Reason.deadline),
    (AdmissionRequest('orders', KEY, deadline_s=float('nan')), Reason.deadline),
    (AdmissionRequest('orders', KEY, body_bytes=1001), Reason.bad_request),
    (AdmissionRequest('orders', KEY, body_bytes=-1), Reason.bad_request),
    (AdmissionRequest('orders', KEY, request_key='x'), Reason.bad_request),
    (AdmissionRequest('orders', KEY, request_key='١.a'), Reason.bad_request),
    (
        AdmissionRequest('orders', KEY, request_key=f'{WALL + 31}.a'),
        Reason.bad_request,
    ),
    (
        AdmissionRequest('orders', KEY, request_key=f'{WALL - 841}.a'),
        Reason.request_key_expired,
    ),
)


@pytest.mark.parametrize(('request_', 'reason'), REFUSALS)
def test_refused_request_names_its_reason_and_uses_no_token(
    admission, request_, reason
):
    """Guards against a missing check and against refusals that use rate tokens."""
    answer = admission.admit(request_)
    assert isinstance(answer, NotRun)
    assert answer.reason is reason
    assert admission._shares.taken == []


def test_deadline_is_limited_by_caller_and_service(admission):
    """Guards against requests that outlast the caller's deadline or the service timeout."""
    assert admission.admit(AdmissionRequest('orders', KEY, 9)).deadline_at == 3
    assert admission.admit(AdmissionRequest('orders', KEY, 0.5)).timeout_s == 0.5


def test_withdrawn_key_fails_and_an_older_version_does_not_restore_it(admission):
    """Guards against an old configuration that arrives late and restores a revoked key."""
    for key in (KEY, ISSUED_KEY):
        assert isinstance(admission.admit(AdmissionRequest('orders', key)), Admitted)
    admission.set_configuration(make_configuration(3, (KEY, ISSUED_KEY)))
    admission.set_configuration(make_configuration(2))
    for key in (KEY, ISSUED_KEY):
        refusal = admission.admit(AdmissionRequest('orders', key))
        assert refusal.reason is Reason.key_unknown


def test_nothing_is_admitted_without_configuration_or_lease(admission):
    """Guards against admission by a removed instance or one without configuration."""
    empty = Admission(ManualClock(), FakeLease(), FakeShares())
    refusal = empty.admit(AdmissionRequest('news'))
    assert refusal.reason is Reason.no_configuration
    admission._lease.valid = False
    assert admission.admit(AdmissionRequest('news')).reason is Reason.no_lease


def test_api_key_is_left_out_of_repr(admission):
    """Guards against API keys in logs."""
    request = AdmissionRequest('orders', KEY)
    described = repr((request, admission, admission.admit(request), [request]))
    assert KEY not in described + str(request) + f'{request}'


REQUESTS = st.builds(
    AdmissionRequest,
    st.sampled_from(('catalogue', 'orders', 'news', 'films')),
    st.sampled_from((None, KEY, OTHER_KEY, ISSUED_KEY, 'wrong')),
    st.sampled_from((None, -1, 0, 0.1, 60)),
    st.sampled_from((None, 'x', f'{WALL}.a', f'{WALL - 900}.a')),
    st.sampled_from((None, 0, 1000, 1001)),
)


@settings(derandomize=True, database=None, max_examples=300)
@given(st.lists(st.tuples(REQUESTS, st.booleans()), max_size=12))
def test_tokens_used_equal_admitted_keyed_requests(sequence):
    """Guards against refused requests that use up the rate of their team."""
    shares, lease = FakeShares(), FakeLease()
    admission = Admission(ManualClock(0, WALL), lease, shares)
    admission.set_configuration(make_configuration())
    teams = {KEY: 'east', OTHER_KEY: 'west', ISSUED_KEY: 'west', None: None}
    expected = []
    for request, lease.valid in sequence:
        answer = admission.admit(request)
        if isinstance(answer, Admitted):
            assert lease.valid
            assert answer.team == teams[request.key]
            expected += [f'team:{answer.team}'] if answer.team else []
    assert shares.taken == expected
