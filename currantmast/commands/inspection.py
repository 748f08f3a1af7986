"""Commands that change nothing: check, status and explain."""

from typing import Any
from urllib.parse import urlencode

import msgspec

from currantmast.commands.errors import DeploymentRejected
from currantmast.commands.options import open_store, read_address
from currantmast.commands.printing import format_table, show_result
from currantmast.commands.statuses import (
    Report,
    Status,
    collect_reports,
    fetch,
    read_fleet,
)
from currantmast.errors import TransportError
from currantmast.inventory import Inventory
from currantmast.loading import load_deployment
from currantmast.lookups import Pools
from currantmast.publication import read_head
from currantmast.validation import list_findings

EXPLAIN_PATH = '/explain'
HEADINGS = (
    'instance',
    'region',
    'version',
    'epoch',
    'lease',
    'role',
    'free/usable',
    'remarks',
)
NO_STATUS = ('-',) * 5  # Version, epoch, lease, role and slots.


class DeploymentSummary(msgspec.Struct, frozen=True):
    """Size of a deployment that passed every check."""

    name: str
    regions: int
    sites: int
    services: int
    targets: int
    teams: int


class FleetStatus(msgspec.Struct, frozen=True):
    """Version and epoch in the store, and the report of each member."""

    version: int
    epoch: int
    instances: list[Report]


class AnswerUnreadable(TransportError):
    """An instance answered with something other than JSON."""


def check(directory: str, as_json: bool) -> None:
    """Check the deployment in `directory` and print its size.

    Raises
    ------
    SettingsError
        If a field is not allowed, or if there is exactly one contradiction.
    DeploymentRejected
        If there are several contradictions.
    """
    deployment = load_deployment(directory)
    findings = list(list_findings(deployment))
    if len(findings) == 1:
        raise findings[0]
    if findings:
        raise DeploymentRejected('\n'.join(str(finding) for finding in findings))
    base = deployment.base
    summary = DeploymentSummary(
        name=base.name,
        regions=len(base.regions),
        sites=len(deployment.sites),
        services=len(base.services),
        targets=len(Inventory(deployment).targets),
        teams=len(base.teams),
    )
    show_result(summary, _format_fields(msgspec.to_builtins(summary)), as_json)


def show_status(store: str, as_json: bool) -> None:
    """Print the stored version and epoch, and the status of each instance.

    Raises
    ------
    StoreError
        If the store does not answer.
    """
    with open_store(store) as client:
        version = read_head(client).head.version
        record = read_fleet(client)
    reports = collect_reports(record)
    heading = f'stored: version {version}, epoch {record.epoch}'
    drained = list_drained(reports) or '-'
    table = format_table([list(HEADINGS), *(_make_row(report) for report in reports)])
    shown = FleetStatus(version, record.epoch, reports)
    show_result(shown, f'{heading}\ndrained: {drained}\n{table}', as_json)


def explain(instance: str, query: dict[str, str], as_json: bool) -> None:
    """Print how an instance would route a request.

    Raises
    ------
    TransportError
        If the instance does not answer.
    """
    address = read_address('--instance', instance)
    pools = Pools()
    try:
        body = fetch(pools, address, f'{EXPLAIN_PATH}?{urlencode(query)}')
    finally:
        pools.close()
    try:
        answer = msgspec.json.decode(body)
    except msgspec.MsgspecError as error:
        raise AnswerUnreadable(f'{instance}: {error}') from error
    show_result(answer, _format_fields(answer), as_json)


def _make_row(report: Report) -> list[str]:
    member = report.member
    status = report.status
    if status is None:
        return [member.id, member.region, *NO_STATUS, report.problem]
    return [
        member.id,
        member.region,
        str(status.version),
        str(status.epoch),
        'valid' if status.leased else status.lease_reason,
        status.role,
        format_slots(status),
        _make_remarks(report),
    ]


def format_slots(status: Status) -> str:
    """Return the free and usable slots of each service as text."""
    return ' '.join(
        f'{service}={slots.free}/{slots.usable}'
        for service, slots in sorted(status.capacity.items())
    )


def format_counts(counts: dict[str, int]) -> str:
    """Return counts by reason as text, ordered by reason."""
    return ' '.join(f'{reason}={count}' for reason, count in sorted(counts.items()))


def list_drained(reports: tuple[Report, ...]) -> str:
    """Return what is drained, as the instance with the newest version reports it."""
    statuses = [report.status for report in reports if report.status is not None]
    newest = max(statuses, key=lambda status: status.version, default=None)
    return '' if newest is None else ' '.join(newest.drained)


def _make_remarks(report: Report) -> str:
    status = report.status
    remarks = [f'removed, lease may be valid: {name}' for name in status.expiring]
    if report.member.leaving:
        remarks.append('leaving')
    if status.refused:
        remarks.append(f'refused {format_counts(status.refused)}')
    if status.incarnation != report.member.incarnation:
        remarks.append('restarted, not yet in the record')
    return '; '.join(remarks)


def _format_fields(fields: Any) -> str:
    if not isinstance(fields, dict):
        return str(fields)
    return '\n'.join(
        _format_field(name, field_value) for name, field_value in fields.items()
    )


def _format_field(name: str, field_value: Any) -> str:
    if not isinstance(field_value, list) or not all(
        isinstance(row, dict) for row in field_value
    ):
        return f'{name}: {field_value}'
    headings = list(dict.fromkeys(heading for row in field_value for heading in row))
    rows = [
        [_format_cell(row.get(heading)) for heading in headings] for row in field_value
    ]
    return f'{name}:\n{format_table([headings, *rows])}'


def _format_cell(cell: Any) -> str:
    return f'{cell:.4g}' if isinstance(cell, float) else str(cell)
