"""Table and summary line of one experiment."""

from collections.abc import Iterator

import msgspec

from currantmast.experiment.histories import Guarantee, Violation, Violations
from currantmast.experiment.measures import Measures

SCALE_NOTE = 'rates are scaled to one machine of 10 cores; targets are stand-ins'
MOST_SHOWN = 20
"""Violations that the text shows; the JSON form holds all."""


class Report(msgspec.Struct, frozen=True):
    """Result of one experiment.

    Parameters
    ----------
    command : str
        Command that repeats the experiment.
    seed : int
        Seed of the load.
    policy, fault : str
        Decision policy in force and disturbance.
    rate : float
        Calls per second that were offered.
    seconds : float
        Length of the load.
    measures : Measures
        What was measured.
    violations : tuple of Violation
        Broken guarantees.
    scale : str
        How the rates relate to a real deployment.
    """

    command: str
    seed: int
    policy: str
    fault: str
    rate: float
    seconds: float
    measures: Measures
    violations: Violations
    scale: str = SCALE_NOTE

    @property
    def wrong(self) -> int:
        """Number of answers that were not whole or belonged to another call."""
        return sum(one.guarantee is Guarantee.answer for one in self.violations)


def encode_report(report: Report) -> str:
    """Return `report` as JSON."""
    return msgspec.json.format(msgspec.json.encode(report)).decode()


def format_report(report: Report) -> str:
    """Return `report` as a text table."""
    return '\n'.join(_list_lines(report))


def format_summary(report: Report) -> str:
    """Return the one line of key=value pairs that ends an experiment."""
    measures = report.measures
    overall = measures.latencies[-1]
    return (
        f'answered={measures.answered} refused={measures.refused} wrong={report.wrong} '
        f'p50_ms={overall.p50_ms:.1f} p99_ms={overall.p99_ms:.1f}'
    )


def _list_lines(report: Report) -> Iterator[str]:
    measures = report.measures
    yield f'command: {report.command}'
    yield (
        f'seed={report.seed} policy={report.policy} fault={report.fault} '
        f'rate={report.rate:g}/s seconds={report.seconds:g}'
    )
    yield f'scale: {report.scale}'
    yield f'{"service":<12}{"answered":>10}{"p50 ms":>10}{"p99 ms":>10}'
    for row in measures.latencies:
        yield f'{row.service:<12}{row.answered:>10}{row.p50_ms:>10.1f}{row.p99_ms:>10.1f}'
    yield f'headroom, smallest free part of slots: {measures.headroom:.2f}'
    yield f'drain time: {measures.drain_s:.2f} s'
    share = f'{measures.worst_share:.3f}'
    yield f"worst-served team's share: {share} ({measures.worst_team})"
    yield f"refused inside the team's rate: {measures.refused_inside}"
    yield f'unknown outcomes: {measures.unknown}'
    yield f'violations: {len(report.violations)}'
    for violation in report.violations[:MOST_SHOWN]:
        yield f'  {_format_violation(violation)}'


def _format_violation(violation: Violation) -> str:
    return f'{violation.guarantee}: {violation.subject}: {violation.detail}'
