"""Checks of the guarantees over recorded histories.

Each check returns the violations that it found; an empty tuple means that the history holds the
guarantee. The checks know callers and targets only: nothing that an instance reports about itself
counts as evidence, apart from configuration versions.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from enum import StrEnum
from itertools import chain

import msgspec

from currantmast.deployment import ServiceKind, Shift, Target, Team
from currantmast.experiment.records import (
    Call,
    Drain,
    Execution,
    History,
    Version,
    Withdrawal,
)
from currantmast.experiment.windows import (
    Bound,
    Excess,
    Span,
    count_inside,
    find_crowd,
    find_excess,
)

CLOCK_RESOLUTION_S = 0.001
"""Histories are recorded in milliseconds or finer; two times may be this far apart by rounding."""

CAP_WINDOW_S = 1
"""A shift's cap is the most requests that may be moved in any window of this length."""

DONE = 'done'
NOT_RUN = 'not-run'


class Guarantee(StrEnum):
    """What a violation breaks."""

    answer = 'answer'
    refusal = 'refusal'
    at_most_once = 'at_most_once'
    key = 'key'
    withdrawal = 'withdrawal'
    header = 'header'
    rate = 'rate'
    shift = 'shift'
    slots = 'slots'
    drain = 'drain'
    version = 'version'


class Violation(msgspec.Struct, frozen=True):
    """One case in which a history breaks a guarantee.

    Parameters
    ----------
    guarantee : Guarantee
        What was broken.
    subject : str
        Call, team, shift, target or instance.
    detail : str
        What was seen and what is allowed.
    """

    guarantee: Guarantee
    subject: str
    detail: str


Violations = tuple[Violation, ...]
_SpansByTeam = dict[str, list[Span]]


def check_answers(calls: Iterable[Call]) -> Violations:
    """Each answer is complete and belongs to its call."""
    return tuple(
        Violation(Guarantee.answer, call.id, f'own={call.own} whole={call.whole}')
        for call in calls
        if call.outcome == DONE and not (call.own and call.whole)
    )


def check_refusals(
    calls: Iterable[Call], executions: Iterable[Execution]
) -> Violations:
    """No call that was answered "not run" was executed.

    Several calls with one request key share one path and so one token. They count by the request
    id of their own refusal, and by the token only when every one of them was refused.
    """
    by_call = _group_executions(executions)
    recorded = tuple(calls)
    ran = {call.id for call in recorded if call.outcome != NOT_RUN}
    refused = (call for call in recorded if call.outcome == NOT_RUN)
    return tuple(
        Violation(
            Guarantee.refusal, call.id, f'reason={call.reason} ran on {run.target}'
        )
        for call in refused
        for run in by_call.get(call.id, ())
        if call.id not in ran or _is_same_request(call, run)
    )


def check_at_most_once(
    calls: Iterable[Call], executions: Iterable[Execution]
) -> Violations:
    """Each request key, and each order or upload without one, runs at most once."""
    runs = Counter(execution.call_id for execution in executions)
    single = {call.id: call for call in calls if call.kind != ServiceKind.lookup}
    totals: Counter[str] = Counter()
    for call in single.values():
        scope = f'{call.team}/{call.service}/{call.request_key or call.id}'
        totals[scope] += runs[call.id]
    return tuple(
        Violation(Guarantee.at_most_once, scope, f'executions={count}')
        for scope, count in totals.items()
        if count > 1
    )


def check_keys(calls: Iterable[Call], executions: Iterable[Execution]) -> Violations:
    """Requests run only for a valid key, under the team of that key."""
    by_id = {call.id: call for call in calls}
    found = []
    for execution in executions:
        fault = _find_key_fault(by_id.get(execution.call_id), execution)
        if fault:
            detail = f'{fault}, ran on {execution.target}'
            found.append(Violation(Guarantee.key, execution.call_id, detail))
    return tuple(found)


def _find_key_fault(call: Call | None, execution: Execution) -> str:
    if call is None:
        return 'no caller sent it'
    if not call.key_valid:
        return f'key={call.key} is not valid'
    if execution.team not in {'', call.team}:
        return f'ran for {execution.team}, the key is of {call.team}'
    return ''


def check_withdrawals(
    history: History, withdrawals: Iterable[Withdrawal], path_s: float
) -> Violations:
    """No request starts for a key whose withdrawal was accepted.

    Parameters
    ----------
    history : History
        Recorded calls and executions.
    withdrawals : iterable of Withdrawal
        Accepted withdrawals.
    path_s : float
        Longest time in seconds between the check of the key and the start on the target; a
        request whose key was checked before the acceptance may still start within it.
    """
    keys = {call.id: call.key for call in history.calls}
    accepted = {item.key: item.accepted for item in withdrawals}
    found = []
    for execution in history.executions:
        key = keys.get(execution.call_id, '')
        late = execution.started - accepted.get(key, float('inf')) - path_s
        if late > CLOCK_RESOLUTION_S:
            detail = f'key={key} started {late:.3f}s after the bound'
            violation = Violation(Guarantee.withdrawal, execution.call_id, detail)
            found.append(violation)
    return tuple(found)


def check_headers(executions: Iterable[Execution]) -> Violations:
    """No header that a target saw holds a key."""
    return tuple(
        Violation(
            Guarantee.header, execution.call_id, f'key seen by {execution.target}'
        )
        for execution in executions
        if execution.key_seen
    )


def check_rates(history: History, teams: Iterable[Team]) -> Violations:
    """Admissions of each team stay within burst + rate x t in every window.

    Admissions happen in the instances, whose own records are no evidence. Each admission that led
    to an execution lies between the sending of its call and its first start on a target, and
    `windows` counts a call only when the whole interval lies inside the window. So the service
    path needs no allowance; only `CLOCK_RESOLUTION_S` is allowed.
    """
    spans = _group_spans(history, history.executions)
    found = []
    for team in teams:
        bound = Bound(team.rate, team.burst, CLOCK_RESOLUTION_S)
        excess = find_excess(spans.get(team.id, ()), bound)
        if excess is not None:
            detail = _describe(excess, spans[team.id])
            found.append(Violation(Guarantee.rate, team.id, detail))
    return tuple(found)


def check_shifts(history: History, shifts: Iterable[Shift]) -> Violations:
    """Moved requests of each shift stay within its cap in every second.

    All executions in the destination of calls from the shifted site count, also those that routing
    would have sent there without the shift. So the history must come from a load that leaves the
    home region unfilled.
    """
    sites = {call.id: call.site for call in history.calls}
    found = []
    for shift in shifts:
        moved = [
            execution
            for execution in history.executions
            if execution.region == shift.destination
            and sites.get(execution.call_id) == shift.site
        ]
        spans = list(chain.from_iterable(_group_spans(history, moved).values()))
        bound = Bound(shift.cap_rate, shift.cap_rate, CLOCK_RESOLUTION_S)
        excess = find_crowd(spans, bound, CAP_WINDOW_S)
        if excess is not None:
            detail = _describe(excess, spans)
            found.append(Violation(Guarantee.shift, shift.id, detail))
    return tuple(found)


def check_slots(
    executions: Iterable[Execution], targets: Mapping[str, Target]
) -> Violations:
    """No target runs more requests at once than it has slots."""
    edges = defaultdict(list)
    for execution in executions:
        # An end sorts before a start at the same time.
        edges[execution.target].append((execution.started, 1))
        edges[execution.target].append((execution.ended, -1))
    most = {target: _find_most(sorted(changes)) for target, changes in edges.items()}
    return tuple(
        Violation(
            Guarantee.slots, target, f'running={running} of {targets[target].slots}'
        )
        for target, running in most.items()
        if running > targets[target].slots
    )


def check_drains(
    executions: Iterable[Execution], drains: Iterable[Drain], grace_s: float
) -> Violations:
    """No drained target gets a new request later than `grace_s` seconds after acceptance."""
    periods = {drain.target: drain for drain in drains}
    found = []
    for execution in executions:
        drain = periods.get(execution.target)
        if drain is None:
            continue
        if drain.accepted + grace_s < execution.started < drain.undone:
            late = execution.started - drain.accepted
            detail = f'call={execution.call_id} started {late:.3f}s after acceptance'
            found.append(Violation(Guarantee.drain, drain.target, detail))
    return tuple(found)


def check_versions(versions: Iterable[Version]) -> Violations:
    """No instance goes back to an earlier configuration version.

    Parameters
    ----------
    versions : iterable of Version
        Reports of running instances; a restart begins a new instance name.
    """
    latest: dict[str, int] = {}
    found = []
    for report in sorted(versions, key=_get_time):
        before = latest.get(report.instance, 0)
        if report.version < before:
            detail = f'version {report.version} after {before}'
            found.append(Violation(Guarantee.version, report.instance, detail))
        latest[report.instance] = max(before, report.version)
    return tuple(found)


def _get_time(report: Version) -> float:
    return report.at


def _group_executions(executions: Iterable[Execution]) -> dict[str, list[Execution]]:
    groups = defaultdict(list)
    for execution in executions:
        groups[execution.call_id].append(execution)
    return groups


def _is_same_request(call: Call, execution: Execution) -> bool:
    return bool(call.request_id) and call.request_id == execution.request_id


def _group_spans(history: History, executions: Iterable[Execution]) -> _SpansByTeam:
    first: dict[str, float] = {}
    for execution in executions:
        earliest = first.get(execution.call_id, execution.started)
        first[execution.call_id] = min(execution.started, earliest)
    spans = defaultdict(list)
    for call in history.calls:
        started = first.pop(call.id, None)
        if started is not None:
            spans[call.team].append(Span(call.sent, started))
    return spans


def _find_most(changes: list[tuple[float, int]]) -> int:
    running = 0
    most = 0
    for _, change in changes:
        running += change
        most = max(most, running)
    return most


def _describe(excess: Excess, spans: Iterable[Span]) -> str:
    count = count_inside(spans, excess)
    length = excess.end - excess.start
    return f'{count} in {length:.3f}s, allowed {excess.allowed:.2f}'
