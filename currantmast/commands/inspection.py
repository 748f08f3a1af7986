"""Commands that only look."""

from typing import Any
from urllib.parse import urlencode

import msgspec

from currantmast.commands.errors import DeploymentRejected
from currantmast.commands.options import open_store, read_address
from currantmast.commands.printing import format_table, show_result
from currantmast.commands.statuses import Report, collect_reports, fetch, read_fleet
from currantmast.errors import TransportError
from currantmast.inventory import Inventory
from currantmast.loading import load_deployment
from currantmast.lookups import Pools
from currantmast.publication import read_head
from currantmast.validation import list_findings

EXPLAIN_PATH = '/explain'
HEADINGS = ('instance', 'region', 'version', 'epoch', 'lease', 'role', 'remarks')
NO_STATUS = ('-', '-', '-', '-')  # Version, epoch, lease and role.


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
    table = format_table([list(HEADINGS), *(_make_row(report) for report in reports)])
    shown = FleetStatus(version, record.epoch, reports)
    show_result(shown, f'{heading}\n{table}', as_json)


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
        _make_remarks(report),
    ]


def _make_remarks(report: Report) -> str:
    status = report.status
    remarks = [f'removed, lease may be valid: {name}' for name in status.expiring]
    if report.member.leaving:
        remarks.append('leaving')
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
