"""Commands that issue and withdraw the API keys of teams."""

import secrets

import msgspec

from currantmast.commands.changes import Change
from currantmast.commands.options import (
    COMMAND_LINE,
    DEFAULT_WAIT_S,
    Task,
    parse_as_strings,
    read_section,
)
from currantmast.commands.printing import show_progress, show_result
from currantmast.credentials import CallerKey
from currantmast.errors import OperationRejected, SettingsError
from currantmast.fields import Digest
from currantmast.inventory import index_keys
from currantmast.operations import issue_key, withdraw_key
from currantmast.publication import change_operations, read_configuration

KEY_BYTES = 24
REDACTED_VALUE = 'a value that is not shown'
DIGEST_ALLOWED = 'the SHA-256 of the key, 64 hexadecimal digits'


class IssuedKey(msgspec.Struct, frozen=True):
    """A newly issued key; only this result shows it in clear text.

    Parameters
    ----------
    key : str
        The key in clear text; empty if the operator supplied its digest.
    digest : str
        SHA-256 of the key in hexadecimal, by which it is withdrawn.
    """

    key: str
    digest: str


class DigestOption(msgspec.Struct, frozen=True):
    """Digest given on the command line, with its format checked."""

    digest: Digest


class KeyCommands:
    """Issue and withdraw keys of teams without interrupting traffic."""

    @parse_as_strings('team', 'store', 'digest')
    def issue(
        self,
        team: str,
        *,
        store: str,
        digest: str = '',
        wait_s: float = DEFAULT_WAIT_S,
        json: bool = False,
    ) -> Task:
        """Issue a new key for a team and print it once; only its digest is stored.

        Parameters
        ----------
        team : str
            Id of the team.
        store : str
            ip:port of the store.
        digest : str
            SHA-256 of a key that you generated yourself; no key is printed then.
        wait_s : float
            Seconds to wait until every instance accepts the key.
        json : bool
            Write the results as JSON, one per line.
        """
        return Task(lambda: _issue(Change(store, wait_s, json), team, digest))

    @parse_as_strings('digest', 'store')
    def withdraw(
        self,
        digest: str,
        *,
        store: str,
        wait_s: float = DEFAULT_WAIT_S,
        json: bool = False,
    ) -> Task:
        """Withdraw a key permanently.

        Parameters
        ----------
        digest : str
            SHA-256 of the key in hexadecimal, as `key issue` printed it.
        store : str
            ip:port of the store.
        wait_s : float
            Seconds to wait until every instance rejects the key.
        json : bool
            Write the result as JSON.
        """
        return Task(lambda: _withdraw(Change(store, wait_s, json), digest))


def _issue(change: Change, team: str, given: str) -> None:
    key = '' if given else secrets.token_urlsafe(KEY_BYTES)
    digest = _read_digest(given) if given else CallerKey(key).digest
    with change.open() as client:
        # Printed first: if the store's answer is lost, the operator needs the digest.
        show_progress(f'storing digest {digest}')
        version = change_operations(
            client, lambda current: issue_key(current, digest, team)
        )
        if key:
            text = f'key {key}\ndigest {digest}'
            show_result(IssuedKey(key, digest), text, change.as_json)
        change.wait(client, version)


def _withdraw(change: Change, text: str) -> None:
    digest = _read_digest(text)
    with change.open() as client:
        deployment = read_configuration(client).deployment
    withdrawn = deployment.operations.withdrawn_keys
    if digest not in index_keys(deployment) and digest not in withdrawn:
        raise OperationRejected('withdraw key', 'no team has a key of this digest')
    change.apply(withdraw_key, digest)


def _read_digest(text: str) -> str:
    try:
        return read_section({'digest': text}, DigestOption).digest
    except SettingsError:
        # The operator may have typed the key itself, so the error omits the value.
        raise SettingsError(
            COMMAND_LINE, 'digest', REDACTED_VALUE, DIGEST_ALLOWED
        ) from None
