"""Commands on configuration documents of the users' platform, which change nothing."""

import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from currantmast.clocks import LoopClock
from currantmast.commands.errors import EXIT_FAILED
from currantmast.commands.options import (
    Task,
    parse_as_strings,
    read_address,
    read_section,
)
from currantmast.commands.printing import show_result
from currantmast.direct.model import Configuration
from currantmast.errors import SettingsError
from currantmast.platform.configurations import DECODE_ERRORS, build_configuration
from currantmast.platform.differences import Difference, list_differences
from currantmast.platform.findings import Finding, Surroundings, list_findings
from currantmast.platform.pruning import salvage_json
from currantmast.platform.routechoices import RouteChoice, explain_choice
from currantmast.platform.store import ObjectStore

# Value of options that take a file or what the store has.
FROM_STORE = 'store'
DOCUMENT_ALLOWED = 'a configuration document with a version and a list of resources'


class CheckResult(msgspec.Struct, frozen=True):
    """What a check found, and what differs from the version in force."""

    version: int
    findings: list[Finding]
    differences: list[Difference]


class ConfigCommands:
    """Check and compare configuration documents; exit codes 0, 1 (findings), 2 (unreadable)."""

    @parse_as_strings('document', 'against', 'store', 'regions')
    def check(
        self,
        document: str,
        *,
        against: str = '',
        store: str = '',
        regions: str = '',
        memory_mb: float = 0,
        json: bool = False,
    ) -> Task:
        """Check the configuration in the file DOCUMENT before it is sent.

        Parameters
        ----------
        document : str
            JSON file.
        against : str
            File with the version in force, or `store` to read it there.
        store : str
            ip:port of the store.
        regions : str
            All regions, separated by commas; without it their names are not checked.
        memory_mb : float
            Memory of a machine; 0 to leave the limit of bodies unchecked.
        json : bool
            Write the result as JSON.
        """
        names = frozenset(regions.split(',')) if regions else frozenset()
        fields = {'regions': names, 'memory_mb': memory_mb}
        surroundings = read_section(fields, Surroundings)
        return Task(lambda: check(document, against, store, surroundings, json))

    @parse_as_strings('before', 'after', 'store')
    def diff(
        self, before: str, after: str, *, store: str = '', json: bool = False
    ) -> Task:
        """Show which entries differ between two documents; exit code 1 if any does.

        Parameters
        ----------
        before, after : str
            JSON files, or `store`.
        store : str
            ip:port of the store.
        json : bool
            Write the result as JSON.
        """
        return Task(lambda: compare(before, after, store, json))


class RouteCommands:
    """Explain the routes of a configuration document."""

    @parse_as_strings('host', 'path', 'document', 'team', 'store')
    def explain(
        self,
        host: str,
        path: str,
        *,
        document: str = FROM_STORE,
        team: str = '',
        store: str = '',
        json: bool = False,
    ) -> Task:
        """Show which route a request takes, and why not the others.

        Parameters
        ----------
        host, path : str
            Host and path of the request.
        document : str
            JSON file of the configuration; by default it is read from the store.
        team : str
            Team of the caller.
        store : str
            ip:port of the store.
        json : bool
            Write the result as JSON.
        """
        return Task(
            lambda: explain(_read_document(document, store), (host, path, team), json)
        )


def check(
    path: str, against: str, store: str, surroundings: Surroundings, as_json: bool
) -> None:
    """Print what is wrong with a document and what it would change."""
    document = _read_document(path, store)
    configuration = _build(document, path)
    differences: list[Difference] = []
    if against:
        current = _read_document(against, store)
        surroundings = msgspec.structs.replace(
            surroundings, version_in_force=_build(current, against).version
        )
        differences = list_differences(current, document)
    findings = list_findings(document, surroundings)
    result = CheckResult(configuration.version, findings, differences)
    lines = [*map(_format_finding, findings), *map(_format_difference, differences)]
    summary = f'version {configuration.version:08x}: {len(findings)} findings'
    show_result(result, '\n'.join((*lines, summary)), as_json)
    _exit_with(findings)


def compare(before: str, after: str, store: str, as_json: bool) -> None:
    """Print the entries that differ between two documents."""
    documents = [_read_document(path, store) for path in (before, after)]
    for path, document in zip((before, after), documents, strict=True):
        _build(document, path)
    differences = list_differences(*documents)
    lines = [*map(_format_difference, differences), f'{len(differences)} differences']
    show_result(differences, '\n'.join(lines), as_json)
    _exit_with(differences)


def explain(document: Any, request: tuple[str, str, str], as_json: bool) -> None:
    """Print which route a request takes; exit code 1 if none matches."""
    choice = explain_choice(_build(document, 'document'), *request)
    show_result(choice, '\n'.join(_format_choice(choice)), as_json)
    if not choice.route:
        sys.exit(EXIT_FAILED)


def _read_document(path: str, store: str) -> Any:
    """Return the decoded document in a file or in the store."""
    if path == FROM_STORE:
        body = ObjectStore(
            read_address('--store', store), LoopClock()
        ).read_configuration()
    else:
        body = _read_file(path)
    try:
        decoded = msgspec.json.decode(body)
    except (msgspec.MsgspecError, RecursionError):
        decoded = salvage_json(body)
    # A stored object holds the document beside its metadata.
    if isinstance(decoded, dict) and 'resources' not in decoded:
        return decoded.get('spec')
    return decoded


def _read_file(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(path, '-', error, 'a file that can be read') from error


def _build(document: Any, path: str) -> Configuration:
    try:
        return build_configuration(document)
    except DECODE_ERRORS as error:
        raise SettingsError(path, '-', str(error), DOCUMENT_ALLOWED) from error


def _format_finding(finding: Finding) -> str:
    return f'{finding.path} {finding.name or "-"} {finding.rule}: {finding.detail}'


def _format_difference(difference: Difference) -> str:
    fields = '; '.join(difference.fields)
    heading = f'{difference.change} {difference.kind} {difference.name or "-"}'
    return f'{heading}: {fields}' if fields else heading


def _format_choice(choice: RouteChoice) -> Iterable[str]:
    yield f'route: {choice.route or "-"}'
    yield f'outcome: {choice.outcome}'
    yield f'services: {", ".join(choice.services) or "-"}'
    yield f'regions: {", ".join(choice.regions) or "all"}'
    for verdict in choice.verdicts:
        yield f'{verdict.route or "-"} {verdict.prefix}: {verdict.verdict}'
    yield f'routes of other hosts: {choice.other_hosts}'


def _exit_with(found: list[Any]) -> None:
    if found:
        sys.exit(EXIT_FAILED)
