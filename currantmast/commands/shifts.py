"""Commands that start, stop and watch planned traffic shifts."""

from msgspec.structs import replace

from currantmast.commands.changes import Change
from currantmast.commands.options import (
    DEFAULT_WAIT_S,
    Task,
    parse_as_strings,
    read_section,
)
from currantmast.deployment import Shift
from currantmast.errors import OperationRejected
from currantmast.operations import start_shift, stop_shift
from currantmast.publication import read_configuration


class ShiftCommands:
    """Move part of a site's traffic to another region, and back."""

    @parse_as_strings('shift', 'site', 'source', 'destination', 'store')
    def start(  # noqa: WPS211 - each argument is an option of the command line
        self,
        shift: str,
        *,
        site: str,
        destination: str,
        fraction: float,
        cap_rate: float,
        store: str,
        source: str = '',
        wait_s: float = DEFAULT_WAIT_S,
        json: bool = False,
    ) -> Task:
        """Start a shift, or replace the active one with the same id.

        Parameters
        ----------
        shift : str
            Id of the shift.
        site : str
            Site whose traffic is moved.
        destination : str
            Region that the traffic is moved to.
        fraction : float
            Fraction of the site's requests that is moved, from 0 to 1.
        cap_rate : float
            Maximum rate of moved requests, in requests per second; at least 2.
        store : str
            ip:port of the store.
        source : str
            Home region of the site; by default read from the configuration.
        wait_s : float
            Seconds to wait until the shift is in force.
        json : bool
            Write the result as JSON.
        """
        fields = {
            'id': shift,
            'site': site,
            'source': source,
            'destination': destination,
            'fraction': fraction,
            'cap_rate': cap_rate,
        }
        change = Change(store, wait_s, json)
        return Task(lambda: _start(change, read_section(fields, Shift)))

    @parse_as_strings('shift', 'store')
    def stop(
        self,
        shift: str,
        *,
        store: str,
        wait_s: float = DEFAULT_WAIT_S,
        json: bool = False,
    ) -> Task:
        """Stop a shift.

        Parameters
        ----------
        shift : str
            Id of the shift.
        store : str
            ip:port of the store.
        wait_s : float
            Seconds to wait until it is stopped everywhere.
        json : bool
            Write the result as JSON.
        """
        change = Change(store, wait_s, json)
        return Task(lambda: change.apply(stop_shift, shift))

    @parse_as_strings('shift', 'store')
    def watch(
        self,
        shift: str,
        *,
        store: str,
        wait_s: float = DEFAULT_WAIT_S,
        json: bool = False,
    ) -> Task:
        """Wait until a shift that was started is in force everywhere.

        Parameters
        ----------
        shift : str
            Id of the shift.
        store : str
            ip:port of the store.
        wait_s : float
            Seconds to wait.
        json : bool
            Write the result as JSON.
        """
        change = Change(store, wait_s, json)
        return Task(lambda: _watch(change, shift))


def _start(change: Change, shift: Shift) -> None:
    with change.open() as client:
        deployment = read_configuration(client).deployment
    homes = {site.id: site.region for site in deployment.sites}
    source = shift.source or homes.get(shift.site, '')
    change.apply(start_shift, replace(shift, source=source))


def _watch(change: Change, name: str) -> None:
    with change.open() as client:
        configuration = read_configuration(client)
        shifts = configuration.deployment.operations.shifts
        if name not in {shift.id for shift in shifts}:
            raise OperationRejected(f'watch shift {name}', 'it is not active')
        change.wait(client, configuration.version)
