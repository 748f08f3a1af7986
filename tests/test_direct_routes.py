"""Route table: the longest prefix of a path, at a cost that doesn't grow with the routes."""

import time

from hypothesis import given
from hypothesis import strategies as st

from currantmast.direct.configurations import RouteTable
from currantmast.direct.model import Route, WeightedService, WorkKind

HOSTS = ('a.example', 'b.example')
PARTS = st.lists(st.sampled_from(('x', 'xy', 'y', '')), max_size=4)
PREFIXES = PARTS.map(lambda parts: '/' + ''.join(f'{part}/' for part in parts))
PATHS = st.tuples(PREFIXES, st.sampled_from(('', 'x', 'xy'))).map(''.join)


def make_route(host, prefix):
    kind = WorkKind('idempotent')
    return Route(
        f'{host}{prefix}', host, prefix, kind, (WeightedService('s', 1),), 1, 1
    )


def match_naively(routes, host, path):
    matching = [
        route
        for route in routes
        if route.host == host and path.startswith(route.prefix)
    ]
    return max(matching, key=lambda route: len(route.prefix), default=None)


@given(
    st.lists(st.tuples(st.sampled_from(HOSTS), PREFIXES), unique=True, max_size=12),
    st.sampled_from((*HOSTS, 'c.example')),
    PATHS,
)
def test_longest_prefix_matches(pairs, host, path):
    routes = [make_route(*pair) for pair in pairs]
    assert RouteTable(routes).match(host, path) == match_naively(routes, host, path)


def measure(count, path):
    table = RouteTable(make_route('a', f'/part-{number}/') for number in range(count))
    started = time.process_time()
    for _ in range(2000):
        table.match('a', path)
    return time.process_time() - started


def test_cost_of_a_match_does_not_grow_with_the_routes():
    """Guards against a large configuration that makes each request slow."""
    assert measure(5000, '/none/of/them') <= 5 * measure(20, '/none/of/them') + 0.01


def test_path_of_many_slashes_is_bounded_by_the_longest_prefix():
    """Guards against a caller's path that keeps an instance busy."""
    assert measure(20, '/' * 20_000) <= 20 * measure(20, '/none/of') + 0.05
