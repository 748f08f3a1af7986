"""Positions in the history of the store."""

import msgspec


class Position(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Point in the history of the store; later ones are greater.

    A store that comes back from a copy loses its newest changes and gives their revisions
    out again, so revisions can only be compared within an era.

    Parameters
    ----------
    era : int
        How often the store came back from a copy; 0 if it doesn't tell.
    revision : int
        Number of changes up to this point.
    """

    era: int
    revision: int

    def __str__(self) -> str:
        """Return era and revision for messages."""
        return f'{self.era}.{self.revision}'


# Before the first change of any store.
START = Position(0, 0)
