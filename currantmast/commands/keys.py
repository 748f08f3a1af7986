"""Commands on keys of teams."""

import secrets

import msgspec

from currantmast.commands.changes import Change
from currantmast.commands.options import (
    COMMAND_LINE,
    DEFAULT_WAIT_S,
    Task,
    read_section,
    take_texts,
)
from currantmast.commands.printing import show_progress, show_result
from currantmast.credentials import CallerKey
from currantmast.errors import OperationRejected, SettingsError
from currantmast.fields import Digest
from currantmast.inventory import index_keys
from currantmast.operations import issue_key, withdraw_key
from currantmast.publication import change_operations, read_configuration

KEY_BYTES = 24
HIDDEN = 'a value that is not shown'
DIGEST_ALLOWED = 'the SHA-256 of the key, 64 hexadecimal digits'


class IssuedKey(msgspec.Struct, frozen=True):
    """A new key; the only place that shows it.

    Parameters
    ----------
    key : str
        The key in clear text; empty when the operator made it.
    digest : str
        SHA-256 of the key in hexadecimal, by which it is withdrawn.
    """

    key: str
    digest: str


class DigestOption(msgspec.Struct, frozen=True):
    """Digest of a key as an option."""

    digest: Digest


class KeyCommands:
    """Issue and withdraw keys while traffic runs."""

    @take_texts('team', 'store', 'digest')
    def issue(
        self,
        team: str,
        *,
        store: str,
        digest: str = '',
        wait_s: float = DEFAULT_WAIT_S,
        json: bool = False,
    ) -> Task:
        """Issue a new key for a team and write it once; only its digest is stored.

        Parameters
        ----------
        team : str
            Id of the team.
        store : str
            ip:port of the store.
        digest : str
            SHA-256 of a key that you made yourself; no key is written then.
        wait_s : float
            Seconds to wait until the key works everywhere.
        json : bool
            Write the results as JSON, one a line.
        """
        return Task(lambda: _issue(Change(store, wait_s, json), team, digest))

    @take_texts('digest', 'store')
    def withdraw(
        self,
        digest: str,
        *,
        store: str,
        wait_s: float = DEFAULT_WAIT_S,
        json: bool = False,
    ) -> Task:
        """Withdraw a key for good.

        Parameters
        ----------
        digest : str
            SHA-256 of the key in hexadecimal, as `key issue` wrote it.
        store : str
            ip:port of the store.
        wait_s : float
            Seconds to wait until the key works nowhere.
        json : bool
            Write the result as JSON.
        """
        return Task(lambda: _withdraw(Change(store, wait_s, json), digest))


def _issue(change: Change, team: str, given: str) -> None:
    key = '' if given else secrets.token_urlsafe(KEY_BYTES)
    digest = _read_digest(given) if given else CallerKey(key).digest
    with change.open() as client:
        # Names the key in case that the store's answer is lost.
        show_progress(f'storing digest {digest}')
        version = change_operations(
            client, lambda known: issue_key(known, digest, team)
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
        # The operator may have typed the key itself.
        raise SettingsError(COMMAND_LINE, 'digest', HIDDEN, DIGEST_ALLOWED) from None
