"""Settings of one instance."""

from enum import StrEnum
from pathlib import Path
from typing import Any

import msgspec

from currantmast.deployment import Section
from currantmast.documents import convert_document, read_document
from currantmast.errors import SettingsError
from currantmast.fields import ADDRESS_ALLOWED, Identifier, Positive, parse_address
from currantmast.messages import Address

LISTENERS = ('public', 'peer', 'control')
REMOTES = ('store', 'statsd')


class LogLevel(StrEnum):
    """Least severe level that is logged."""

    debug = 'debug'
    info = 'info'
    warning = 'warning'
    error = 'error'


class PeerAddresses(Section, frozen=True):
    """Addresses to dial for a peer in place of the advertised ones."""

    public: Address | None = None
    peer: Address | None = None
    control: Address | None = None


class InstanceSettings(Section, frozen=True):
    """What one instance is told when it starts.

    Parameters
    ----------
    id : str
        Name of the instance, stable over restarts.
    region, failure_domain : str
        Place of the instance.
    public, peer, control : Address
        Listeners for callers, peers and control messages; port 0 lets the kernel
        choose.
    store : Address
        The platform's object API.
    seeds : tuple of Address
        Peer addresses that may serve the configuration while the store is down.
    address_overrides : dict
        `PeerAddresses` by instance id.
    statsd : Address or None
        Receiver of metrics.
    log_level : LogLevel
        Least severe level that is logged.
    store_calls_per_s : float
        Most calls per second that this instance makes on the object API, but for the
        claim log.
    claim_calls_per_s : float
        Most calls per second that it makes for the claim log.
    """

    id: Identifier
    region: Identifier
    failure_domain: Identifier
    public: Address
    peer: Address
    control: Address
    store: Address
    seeds: tuple[Address, ...] = ()
    address_overrides: dict[Identifier, PeerAddresses] = {}
    statsd: Address | None = None
    log_level: LogLevel = LogLevel.info
    store_calls_per_s: Positive = 50
    # All 16 partitions at one instance make at most 160 writes a second; nine instances
    # that all read after a change of ownership stay below the store's 2,000 reads.
    claim_calls_per_s: Positive = 200

    def resolve(self, member_id: str, kind: str, advertised: Address) -> Address:
        """Return the address to dial for a peer.

        Parameters
        ----------
        member_id : str
            Instance to reach.
        kind : str
            ``public``, ``peer`` or ``control``.
        advertised : Address
            Address in the fleet record.
        """
        override = self.address_overrides.get(member_id, PeerAddresses())
        return getattr(override, kind) or advertised


def load_settings(path: str | Path) -> InstanceSettings:
    """Return the instance settings in the YAML file at `path`.

    Raises
    ------
    SettingsError
        At the first field that is unknown, missing, repeated or outside its limits.
    """
    place = Path(path)
    document = read_document(place)
    prepared = {
        name: _prepare_field(place, name, found) for name, found in document.items()
    }
    return convert_document(place, prepared, InstanceSettings)


def _prepare_field(path: Path, name: str, found: Any) -> Any:
    if name in LISTENERS:
        return _convert_address(path, name, found, lowest_port=0)
    if name in REMOTES and found is not None:
        return _convert_address(path, name, found)
    match name, found:
        case 'seeds', list():
            return [
                _convert_address(path, f'seeds[{index}]', seed)
                for index, seed in enumerate(found)
            ]
        case 'address_overrides', dict():
            return {
                member: _prepare_override(path, f'{name}.{member}', addresses)
                for member, addresses in found.items()
            }
    return found


def _prepare_override(path: Path, field: str, addresses: Any) -> Any:
    if not isinstance(addresses, dict):
        raise SettingsError(str(path), field, addresses, 'public, peer and control')
    return {
        kind: _convert_address(path, f'{field}.{kind}', text)
        for kind, text in addresses.items()
    }


def _convert_address(path: Path, field: str, found: Any, lowest_port: int = 1) -> dict:
    try:
        address = parse_address(found, lowest_port)
    except ValueError as error:
        raise SettingsError(str(path), field, found, ADDRESS_ALLOWED) from error
    return msgspec.to_builtins(address)
