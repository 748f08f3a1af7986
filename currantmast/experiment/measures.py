"""Measures over recorded histories."""

from collections import Counter, defaultdict
from collections.abc import Iterable

import msgspec
from hdrh.histogram import HdrHistogram

from currantmast.deployment import Deployment, Team
from currantmast.experiment.histories import DONE, NOT_RUN
from currantmast.experiment.records import Call, Drain, Execution, History

US_PER_S = 1_000_000
US_PER_MS = 1000
LONGEST_US = 120 * US_PER_S
HISTOGRAM_DIGITS = 3
MEDIAN = 50
TAIL = 99
BUSY_WINDOW_S = 1
"""Length of the windows over which the use of slots is averaged, in seconds."""


class Latency(msgspec.Struct, frozen=True):
    """Latency of completed calls, in milliseconds."""

    service: str
    answered: int
    p50_ms: float
    p99_ms: float


class Measures(msgspec.Struct, frozen=True):
    """What one experiment measured.

    Parameters
    ----------
    latencies : tuple of Latency
        By service; the last one is over all services.
    headroom : float
        Smallest part of the slots of one service in one region that was free on average over
        a second.
    drain_s : float
        Longest time in seconds from a drain command until it was accepted and the target ran
        nothing more; 0 without drains.
    worst_team, worst_share : str, float
        Team with the smallest part of its calls inside the rate answered, and that part.
    refused_inside : int
        Calls refused although inside their team's rate.
    answered, refused, unknown : int
        Calls by outcome.
    """

    latencies: tuple[Latency, ...]
    headroom: float
    drain_s: float
    worst_team: str
    worst_share: float
    refused_inside: int
    answered: int
    refused: int
    unknown: int


class Service(msgspec.Struct, frozen=True):
    """Calls of one team inside its rate, and how they ended."""

    inside: int
    answered: int
    refused: int


def measure(history: History, deployment: Deployment) -> Measures:
    """Return the measures of `history` under `deployment`."""
    outcomes = Counter(call.outcome for call in history.calls)
    served = {
        team.id: measure_team(history.calls, team) for team in deployment.base.teams
    }
    shares = {
        team: one.answered / one.inside for team, one in served.items() if one.inside
    }
    worst = min(shares, key=shares.__getitem__, default='')
    return Measures(
        latencies=measure_latencies(history.calls),
        headroom=measure_headroom(history.executions, deployment),
        drain_s=measure_drain(history),
        worst_team=worst,
        worst_share=shares.get(worst, 1),
        refused_inside=sum(one.refused for one in served.values()),
        answered=outcomes[DONE],
        refused=outcomes[NOT_RUN],
        unknown=outcomes['unknown'],
    )


def measure_latencies(calls: Iterable[Call]) -> tuple[Latency, ...]:
    """Return latencies by service, and over all services as the last one."""
    groups: dict[str, HdrHistogram] = defaultdict(make_histogram)
    everything = make_histogram()
    for call in calls:
        if call.outcome == DONE:
            elapsed_us = int(call.latency_s * US_PER_S)
            groups[call.service].record_value(elapsed_us)
            everything.record_value(elapsed_us)
    named = [summarize(name, groups[name]) for name in sorted(groups)]
    return (*named, summarize('all', everything))


def make_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, LONGEST_US, HISTOGRAM_DIGITS)


def summarize(name: str, histogram: HdrHistogram) -> Latency:
    """Return the percentiles of `histogram`."""
    return Latency(
        service=name,
        answered=histogram.get_total_count(),
        p50_ms=histogram.get_value_at_percentile(MEDIAN) / US_PER_MS,
        p99_ms=histogram.get_value_at_percentile(TAIL) / US_PER_MS,
    )


def measure_team(calls: Iterable[Call], team: Team) -> Service:
    """Return how the calls of `team` that were inside its rate ended.

    A token bucket of the team's rate and burst runs over the times of sending; a call that finds
    a token is inside the rate.
    """
    own = (call for call in calls if call.team == team.id and call.key_valid)
    tokens, last = team.burst, float('-inf')
    inside: Counter[str] = Counter()
    for call in sorted(own, key=get_sent):
        tokens = min(team.burst, tokens + team.rate * (call.sent - last))
        last = call.sent
        if tokens >= 1:
            tokens -= 1
            inside[call.outcome] += 1
    return Service(inside.total(), inside[DONE], inside[NOT_RUN])


def get_sent(call: Call) -> float:
    """Return when `call` was sent, in seconds."""
    return call.sent


def measure_headroom(executions: Iterable[Execution], deployment: Deployment) -> float:
    """Return the smallest free part of the slots of a service in a region over a second."""
    busy: Counter[tuple[str, str, int]] = Counter()
    for execution in executions:
        for window, seconds in split_windows(execution):
            busy[(execution.region, execution.service, window)] += seconds
    slots = count_slots(deployment)
    used = (spent / slots[place[:2]] for place, spent in busy.items())
    return 1 - max(used, default=0) / BUSY_WINDOW_S


def count_slots(deployment: Deployment) -> Counter[tuple[str, str]]:
    """Return the slots of all targets by region and service."""
    slots: Counter[tuple[str, str]] = Counter()
    for pool in deployment.base.pools:
        slots[(pool.region, pool.service)] += pool.slots * len(pool.addresses)
    return slots


def split_windows(execution: Execution) -> Iterable[tuple[int, float]]:
    """Yield each window that `execution` ran in and the seconds that it ran there."""
    if execution.ended == float('inf'):
        return
    start = execution.started
    while start < execution.ended:
        window = int(start // BUSY_WINDOW_S)
        end = min(execution.ended, (window + 1) * BUSY_WINDOW_S)
        yield window, end - start
        start = end


def measure_drain(history: History) -> float:
    """Return the longest time from a drain command until the target ran nothing more."""
    times = (_measure_drain(drain, history.executions) for drain in history.drains)
    return max(times, default=0)


def _measure_drain(drain: Drain, executions: Iterable[Execution]) -> float:
    ends = (
        execution.ended
        for execution in executions
        if execution.target == drain.target and execution.started < drain.undone
    )
    return max(drain.accepted, *ends, drain.ordered) - drain.ordered
