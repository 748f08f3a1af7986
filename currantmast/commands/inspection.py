"""Commands that only look."""

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


class Checked(msgspec.Struct, frozen=True):
    """A deployment that may be published."""

    name: str
    regions: int
    sites: int
    services: int
    targets: int
    teams: int


class FleetStatus(msgspec.Struct, frozen=True):
    """The configuration that is stored, and the report of each member."""

    version: int
    epoch: int
    instances: list[Report]


class AnswerUnreadable(TransportError):
    """An instance answered with something else than JSON."""


def check(directory: str, as_json: bool) -> None:
    """Check the files in `directory` and write their sizes.

    Raises
    ------
    SettingsError
        At a field that is not allowed, or at the only contradiction.
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
    checked = Checked(
        name=base.name,
        regions=len(base.regions),
        sites=len(deployment.sites),
        services=len(base.services),
        targets=len(Inventory(deployment).targets),
        teams=len(base.teams),
    )
    show_result(checked, _format_fields(msgspec.to_builtins(checked)), as_json)


def show_status(store: str, as_json: bool) -> None:
    """Write what is stored and what each instance reports.

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
    """Write how an instance would route a request.

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
    """Return free and usable slots of each service."""
    return ' '.join(
        f'{service}={slots.free}/{slots.usable}'
        for service, slots in sorted(status.capacity.items())
    )


def format_counts(counts: dict[str, int]) -> str:
    """Return counts by reason."""
    return ' '.join(f'{reason}={count}' for reason, count in sorted(counts.items()))


def list_drained(reports: tuple[Report, ...]) -> str:
    """Return what the newest version that an instance reports drains."""
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
    return '\n'.join(_format_field(name, found) for name, found in fields.items())


def _format_field(name: str, found: Any) -> str:
    if not isinstance(found, list) or not all(isinstance(row, dict) for row in found):
        return f'{name}: {found}'
    headings = list(dict.fromkeys(heading for row in found for heading in row))
    rows = [[_format_cell(row.get(heading)) for heading in headings] for row in found]
    return f'{name}:\n{format_table([headings, *rows])}'


def _format_cell(found: Any) -> str:
    return f'{found:.4g}' if isinstance(found, float) else str(found)
