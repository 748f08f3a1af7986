"""Keys of callers in a form that can't reach a log line, metric or message."""

from hashlib import sha256
from typing import Self

BEARER = 'bearer'


class CallerKey:
    """A caller's key; only its digest can be read.

    Parameters
    ----------
    text : str
        The key as the caller presented it.
    """

    __slots__ = ('_digest',)

    def __init__(self, text: str) -> None:
        self._digest = sha256(text.encode()).hexdigest()

    @classmethod
    def parse(cls, authorization: str) -> Self | None:
        """Return the key in an Authorization header, or None."""
        scheme, _, text = authorization.strip().partition(' ')
        text = text.strip()
        if scheme.lower() != BEARER or not text:
            return None
        return cls(text)

    @property
    def digest(self) -> str:
        """SHA-256 of the key in hexadecimal, as configurations store it."""
        return self._digest

    def __repr__(self) -> str:
        """Return a text without the key or its digest."""
        return '<CallerKey>'
