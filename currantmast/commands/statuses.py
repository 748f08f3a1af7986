"""Reads the fleet record and the status of its members."""

import msgspec
from gevent.pool import Pool

from currantmast.errors import ConfigurationDamaged, TransportError
from currantmast.exchange import Request, Response, exchange
from currantmast.lookups import HTTP_OK, Pools
from currantmast.messages import Address, FleetRecord, Member
from currantmast.publication import ObjectStore
from currantmast.runtime.fleet import FLEET, decode_record

STATUS_PATH = '/status'
STATUS_TIMEOUT_S = 2
PARALLEL_CALLS = 32


class Slots(msgspec.Struct, frozen=True):
    """Slots of one service, summed over the targets that an instance owns."""

    free: int
    usable: int
    queued: int


class Status(msgspec.Struct, frozen=True):
    """The fields of an instance's ``/status`` answer that commands use.

    Parameters
    ----------
    expiring : tuple of str
        Removed members whose lease may still be valid.
    """

    id: str
    incarnation: str
    epoch: int
    version: int
    leased: bool
    lease_reason: str = ''
    role: str = ''
    expiring: tuple[str, ...] = ()
    capacity: dict[str, Slots] = {}
    refused: dict[str, int] = {}
    drained: tuple[str, ...] = ()


class Report(msgspec.Struct, frozen=True):
    """A member and its status, or None if it could not be read.

    Parameters
    ----------
    problem : str
        Why the status could not be read; otherwise empty.
    """

    member: Member
    status: Status | None = None
    problem: str = ''


class InstanceRejected(TransportError):
    """An instance answered with a status code other than 200."""


def read_fleet(client: ObjectStore) -> FleetRecord:
    """Return the fleet record, or one without members if none is stored.

    Raises
    ------
    StoreError
        If the store failed.
    ConfigurationDamaged
        If the stored object is not a valid fleet record.
    """
    stored = client.get(FLEET)
    if stored is None:
        return FleetRecord(0)
    try:
        return decode_record(stored.body)
    except msgspec.MsgspecError as error:
        raise ConfigurationDamaged(f'{FLEET}: {error}') from error


def collect_reports(record: FleetRecord) -> list[Report]:
    """Query the status of every member in parallel and return their reports."""
    pools = Pools()
    workers = Pool(PARALLEL_CALLS)
    try:
        return workers.map(lambda member: _query_member(pools, member), record.members)
    finally:
        pools.close()


def fetch(pools: Pools, address: Address, path: str) -> bytes:
    """Return the body that an instance answers to GET `path`.

    Raises
    ------
    TransportError
        If the instance does not answer with status 200 in time.
    """
    request = Request('GET', path, {})
    response = exchange(pools.get(str(address)), request, STATUS_TIMEOUT_S)
    _check_response(response, path)
    return response.body


def _check_response(response: Response, path: str) -> None:
    if response.status != HTTP_OK:
        text = response.body.decode(errors='replace')
        raise InstanceRejected(f'{path}: status {response.status}: {text}')


def _query_member(pools: Pools, member: Member) -> Report:
    try:
        body = fetch(pools, member.public, STATUS_PATH)
    except TransportError as error:
        return Report(member, problem=str(error) or type(error).__name__)
    try:
        status = msgspec.json.decode(body, type=Status)
    except msgspec.MsgspecError as error:
        return Report(member, problem=str(error))
    return Report(member, status)
