"""Tables of measured costs with the slope of each column."""

import math
from collections.abc import Iterable
from datetime import UTC, datetime

import msgspec

from currantmast.experiment.fitting import Fit, fit_line


class SlopeTable(msgspec.Struct, frozen=True):
    """Costs measured at several sizes.

    Parameters
    ----------
    command : str
        Command that measures them again.
    size : str
        What the first column counts.
    costs : tuple of str
        Name and unit of each cost.
    rows : tuple of list
        Size and costs of each run.
    """

    command: str
    size: str
    costs: tuple[str, ...]
    rows: tuple[list[float], ...]

    def fit(self, cost: str) -> Fit:
        """Return the slope of the column `cost`."""
        column = self.costs.index(cost) + 1
        sizes = [row[0] for row in self.rows]
        return fit_line(sizes, [row[column] for row in self.rows])


def format_table(table: SlopeTable) -> str:
    """Return `table` and its slopes as Markdown."""
    lines = [
        f'`{table.command}`, {datetime.now(UTC):%Y-%m-%d %H:%M} UTC',
        '',
        _join((table.size, *table.costs)),
        _join('---' for _ in (table.size, *table.costs)),
        *(_join(map(_format, row)) for row in table.rows),
    ]
    if len({row[0] for row in table.rows}) > 1:
        lines += ['', *_format_fits(table)]
    return '\n'.join(lines)


def _format_fits(table: SlopeTable) -> list[str]:
    heads = ('cost', f'slope per {table.size}', 'at 0', 'residual', 'exponent', 'shape')
    lines = [_join(heads), _join('---' for _ in heads)]
    for cost in table.costs:
        fit = table.fit(cost)
        numbers = (fit.slope, fit.intercept, fit.residual, fit.exponent)
        lines.append(_join((cost, *map(_format, numbers), fit.shape.value)))
    return lines


def _format(number: float) -> str:
    if math.isfinite(number) and number == int(number):
        return f'{int(number):,}'
    return f'{number:.4g}'


def _join(cells: Iterable[str]) -> str:
    return f'| {" | ".join(cells)} |'
