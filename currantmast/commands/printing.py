"""Output of commands: results to standard output, progress to standard error."""

import sys
from typing import Any

import msgspec


def show_result(result: Any, text: str, as_json: bool) -> None:
    """Write a result to standard output.

    Parameters
    ----------
    result : object
        Struct that is encoded as JSON if `as_json` is set.
    text : str
        Human-readable form, written otherwise.
    as_json : bool
        Whether to write JSON instead of `text`.
    """
    shown = msgspec.json.encode(result).decode() if as_json else text
    sys.stdout.write(f'{shown}\n')
    sys.stdout.flush()


def show_progress(line: str) -> None:
    """Write one line about a running operation to standard error."""
    sys.stderr.write(f'{line}\n')
    sys.stderr.flush()


def format_table(rows: list[list[str]]) -> str:
    """Return `rows` as aligned columns; the first row holds the headings."""
    columns = zip(*rows, strict=True)
    widths = [max(len(cell) for cell in column) for column in columns]
    return '\n'.join(_format_row(row, widths) for row in rows)


def _format_row(row: list[str], widths: list[int]) -> str:
    cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
    return '  '.join(cells).rstrip()
