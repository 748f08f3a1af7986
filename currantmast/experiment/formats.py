"""Files and command lines of the processes that the experiment starts.

Every format that another module defines is met here and nowhere else in the experiment.
"""

import shutil
from collections.abc import Iterator
from fnmatch import fnmatchcase
from pathlib import Path
from typing import Any

import msgspec

from currantmast.deployment import Deployment, Service, Shift
from currantmast.experiment.controls import Controls
from currantmast.experiment.instances import InstancePlan
from currantmast.experiment.links import CONTROL, PEER, STORE, LinkPlan, ProxyPlan
from currantmast.experiment.plans import (
    FleetPlan,
    HostedTarget,
    TargetHost,
    digest_key,
)
from currantmast.experiment.records import Execution
from currantmast.messages import Address
from currantmast.standins import executions as logs
from currantmast.standins.objects import ObjectsSettings
from currantmast.standins.proxy import ProxySettings
from currantmast.standins.shaping import LinkFaults, LinkSettings
from currantmast.standins.targetsettings import TargetSettings, TargetsSettings

STORE_CALL_S = 0.002
"""Time that a call of the object API takes, in seconds; the platform answers in milliseconds."""

MS_PER_S = 1000
BASE_FILE = 'base.yaml'
OVERLAYS = 'overlays'


class PeerOverride(msgspec.Struct, frozen=True):
    """Addresses to dial for one peer, as ``ip:port``."""

    peer: str
    control: str


class InstanceDocument(msgspec.Struct, frozen=True):
    """Settings file of an instance; addresses are texts."""

    id: str
    region: str
    failure_domain: str
    public: str
    peer: str
    control: str
    store: str
    seeds: tuple[str, ...]
    address_overrides: dict[str, PeerOverride] = {}


class Echo(msgspec.Struct, frozen=True):
    """What a target says about the request that it answers.

    Parameters
    ----------
    call_id : str
        Token of the call, from the path that arrived.
    target : str
        Address of the target.
    sha256 : str
        Digest of the body that arrived, in hexadecimal.
    padding_bytes : int
        Size of the padding.
    """

    call_id: str
    target: str
    sha256: str
    padding_bytes: int


class _WorkAnswer(msgspec.Struct, frozen=True):
    echo: str
    target: str
    sha256: str
    padding: str = ''


def make_path(call_id: str, answer_bytes: int) -> str:
    """Return the path of a call below its service; the token is the last segment."""
    return f'calls/{call_id}?answer_bytes={answer_bytes}'


def read_call_id(path: str) -> str:
    """Return the token of a call from a path, with or without query."""
    return path.partition('?')[0].rpartition('/')[2]


def read_echo(body: bytes) -> Echo | None:
    """Return what the answer of a target says, None if it can't be read."""
    try:
        answer = msgspec.json.decode(body, type=_WorkAnswer)
    except msgspec.MsgspecError:
        return None
    call_id = read_call_id(answer.echo)
    return Echo(call_id, answer.target, answer.sha256, len(answer.padding))


def read_executions(controls: Controls, host: TargetHost) -> Iterator[Execution]:
    """Yield what the targets of `host` have executed.

    Raises
    ------
    TransportError
        If the host did not answer.
    """
    entries = controls.read(host.control, '/executions', list[logs.Execution])
    for entry in entries:
        yield Execution(
            target=entry.target,
            region=host.region,
            service=entry.service,
            call_id=read_call_id(entry.path),
            started=entry.started_at,
            ended=entry.ended_at or float('inf'),
            request_id=entry.request_id,
            team=entry.team,
            outcome=entry.outcome,
            key_seen=entry.key_seen,
        )


def set_target_fault(
    controls: Controls, host: TargetHost, target: str, fields: dict[str, Any]
) -> None:
    """Set fields of the faults of one target."""
    controls.change(host.control, f'/faults?target={target}', **fields)


def write_document(path: Path, document: msgspec.Struct) -> str:
    """Write `document` as YAML and return the path as text."""
    path.write_bytes(msgspec.yaml.encode(document))
    return str(path)


def write_deployment(source: Path, directory: Path, deployment: Deployment) -> str:
    """Write the derived deployment to `directory`; the overlays stay as in `source`."""
    directory.mkdir()
    write_document(directory / BASE_FILE, deployment.base)
    shutil.copytree(source / OVERLAYS, directory / OVERLAYS)
    return str(directory)


def make_store_settings(address: Address) -> ObjectsSettings:
    """Return the settings of the object API stand-in."""
    return ObjectsSettings(address=address, call_s=STORE_CALL_S)


def make_target_settings(
    plan: FleetPlan, host: TargetHost, seed: int
) -> TargetsSettings:
    """Return the settings of the process that hosts the targets of `host`."""
    services = {service.id: service for service in plan.deployment.base.services}
    return TargetsSettings(
        targets=tuple(
            _make_target(target, services[target.service]) for target in host.targets
        ),
        address=host.control,
        seed=seed,
        key_digests=tuple(digest_key(key) for key in plan.keys.values()),
    )


def make_instance_document(plan: FleetPlan, instance: InstancePlan) -> InstanceDocument:
    """Return the settings of `instance`."""
    links = {
        (link.kind, link.destination): str(link.listen)
        for link in plan.list_links(instance.id)
    }
    others = [other for other in plan.instances if other.id != instance.id]
    seeds = {other.id: links.get((PEER, other.id), str(other.peer)) for other in others}
    return InstanceDocument(
        id=instance.id,
        region=instance.region,
        failure_domain=instance.failure_domain,
        public=str(instance.public),
        peer=str(instance.peer),
        control=str(instance.control),
        store=links.get((STORE, ''), str(plan.store)),
        seeds=tuple(seeds.values()),
        address_overrides={
            name: PeerOverride(seeds[name], links[(CONTROL, name)])
            for name in seeds
            if links
        },
    )


def make_proxy_settings(proxy: ProxyPlan, seed: int) -> ProxySettings:
    """Return the settings of a fault proxy."""
    return ProxySettings(
        links=tuple(_make_link(link) for link in proxy.links),
        address=proxy.control,
        seed=seed,
    )


def set_link_fault(
    controls: Controls, proxy: ProxyPlan, pattern: str, fields: dict[str, Any]
) -> int:
    """Set fields of the faults of all links that match; return how many there are."""
    count = sum(fnmatchcase(link.name, pattern) for link in proxy.links)
    if count:
        controls.change(proxy.control, f'/links/{pattern}', **fields)
    return count


def make_publication(directory: str, store: Address) -> tuple[str, ...]:
    """Return the command that publishes the deployment in `directory`."""
    return ('publish', directory, f'--store={store}')


def make_drain(name: str) -> tuple[str, ...]:
    """Return the command that drains ``<kind>:<id>``."""
    return ('drain', name)


def make_undrain(name: str) -> tuple[str, ...]:
    """Return the command that undoes a drain."""
    return ('undrain', name)


def make_shift(shift: Shift) -> tuple[str, ...]:
    """Return the command that starts `shift`."""
    options = {
        'site': shift.site,
        'source': shift.source,
        'destination': shift.destination,
        'fraction': shift.fraction,
        'cap_rate': shift.cap_rate,
    }
    named = (f'--{name}={given}' for name, given in options.items())
    return ('shift', 'start', shift.id, *named)


def make_shift_stop(shift_id: str) -> tuple[str, ...]:
    """Return the command that stops a shift."""
    return ('shift', 'stop', shift_id)


def make_issue(team: str, digest: str) -> tuple[str, ...]:
    """Return the command that issues a key by its digest."""
    return ('key', 'issue', team, f'--digest={digest}')


def make_withdrawal(digest: str) -> tuple[str, ...]:
    """Return the command that withdraws a key by its digest."""
    return ('key', 'withdraw', digest)


def _make_link(link: LinkPlan) -> LinkSettings:
    faults = LinkFaults(delay_ms=link.delay_ms, bandwidth_mbit_s=link.bandwidth_mbit_s)
    return LinkSettings(
        name=link.name,
        upstream=link.upstream,
        listen=link.listen,
        channel=link.channel,
        faults=faults,
    )


def _make_target(target: HostedTarget, service: Service) -> TargetSettings:
    return TargetSettings(
        service=service.id,
        kind=service.kind,
        address=target.address,
        slots=target.slots,
        connections=target.connections,
        median_s=service.typical_ms / MS_PER_S,
    )
