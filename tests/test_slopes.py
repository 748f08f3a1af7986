"""Slopes: the fit of a line, and every measuring command at tiny sizes."""

import math

import pytest

from currantmast.experiment import (
    claimslopes,
    controlslopes,
    cutslopes,
    httpslopes,
    metricslopes,
    relayslopes,
    shareslopes,
    tableslopes,
    takeoverslopes,
)
from currantmast.experiment.fitting import Shape, TooFewSizes, fit_line
from currantmast.experiment.slopetables import SlopeTable, format_table

SIZES = (2, 4)


def test_fits_an_exact_line():
    """Guards against a slope per row number in place of a slope per size."""
    fit = fit_line((10, 20, 40), (25, 45, 85))
    assert fit.slope == pytest.approx(2)
    assert fit.intercept == pytest.approx(5)
    assert fit.residual == pytest.approx(0, abs=1e-9)
    assert fit.predict(2100) == pytest.approx(4205)


def test_residual_is_the_distance_from_the_line():
    """Guards against a residual that outliers do not raise."""
    fit = fit_line((1, 2, 3), (0, 3, 0))
    # The best line is flat at 1, so the distances are 1, 2 and 1.
    assert fit.slope == pytest.approx(0)
    assert fit.residual == pytest.approx(math.sqrt(2))


@pytest.mark.parametrize(
    ('exponent', 'shape'),
    [
        (0, Shape.constant),
        (0.5, Shape.below),
        (1, Shape.linear),
        (2, Shape.worse),
    ],
)
def test_names_the_shape(exponent, shape):
    """Guards against a quadratic cost that is reported as linear."""
    sizes = (10, 100, 1000)
    assert fit_line(sizes, [3 * size**exponent for size in sizes]).shape is shape


def test_shape_is_unknown_for_costs_of_zero():
    """Guards against a logarithm of zero."""
    assert fit_line((1, 2), (0, 1)).shape is Shape.unknown


def test_rejects_a_single_size():
    """Guards against a slope from one point."""
    with pytest.raises(TooFewSizes):
        fit_line((5, 5), (1, 2))


def test_table_names_command_and_slope():
    """Guards against a figure without the command that measured it."""
    table = SlopeTable('measure it', 'peers', ('cpu ms',), ((1, 3.0), (2, 5.0)))
    text = format_table(table)
    assert '`measure it`' in text
    assert '| cpu ms | 2 | 1 |' in text


SHARE_SETTINGS = shareslopes.ShareSettings(20, 10, 0.5, 1, 0.5, 1)

MEASUREMENTS = {
    'blocks': (
        tableslopes.BLOCK_COSTS,
        lambda: tableslopes.measure_blocks((10, 20), 1, members=4),
    ),
    'pages': (
        tableslopes.PAGE_COSTS,
        lambda: tableslopes.measure_pages((10, 20), members=4),
    ),
    'lookups': (
        tableslopes.LOOKUP_COSTS,
        lambda: tableslopes.measure_lookups(SIZES, 1, blocks=10),
    ),
    **{
        kind: (
            tableslopes.STATE_COSTS,
            lambda kind=kind: tableslopes.measure_state(kind, SIZES),
        )
        for kind in ('teams', 'targets', 'peers')
    },
    'heartbeats': (
        controlslopes.HEARTBEAT_COSTS,
        lambda: controlslopes.measure_heartbeats(SIZES, 2, links=False),
    ),
    'budgets': (
        controlslopes.HEARTBEAT_COSTS,
        lambda: controlslopes.measure_budgets(SIZES, 3),
    ),
    'takeover': (
        takeoverslopes.TAKEOVER_COSTS,
        lambda: takeoverslopes.measure_takeover(SIZES),
    ),
    'metrics': (
        metricslopes.METRIC_COSTS,
        lambda: metricslopes.measure_metrics(SIZES),
    ),
    'cuts': (cutslopes.CUT_COSTS, lambda: cutslopes.measure_cuts((40, 60))),
    'messages': (
        relayslopes.MESSAGE_COSTS,
        lambda: relayslopes.measure_messages(SIZES),
    ),
    'relays': (
        relayslopes.RELAY_COSTS,
        lambda: relayslopes.measure_relays(SIZES, 2),
    ),
    'ownership': (
        controlslopes.OWNERSHIP_COSTS,
        lambda: controlslopes.measure_ownership(SIZES),
    ),
    'shares': (
        shareslopes.SHARE_COSTS,
        lambda: shareslopes.measure_shares(SIZES, SHARE_SETTINGS),
    ),
    'claims': (
        claimslopes.CLAIM_COSTS,
        lambda: claimslopes.measure_claims((3, 500), 10),
    ),
    'http': (
        httpslopes.HTTP_COSTS,
        lambda: httpslopes.measure_http((10, 20), 3, 0.5, 1),
    ),
}


@pytest.mark.parametrize('name', MEASUREMENTS)
def test_measures_every_cost(name):
    """Guards against a command that fails or leaves a column out."""
    costs, measure = MEASUREMENTS[name]
    rows = list(measure())
    assert len(rows) == 2
    assert all(len(row) == len(costs) + 1 for row in rows)
    assert format_table(SlopeTable(name, 'size', costs, tuple(rows)))


def test_shares_of_a_trial_never_exceed_the_budget():
    """Guards against a trial that measures something else than the ledger's rule."""
    trial = shareslopes.BudgetTrial(3, SHARE_SETTINGS, 0.3)
    trial.run()
    assert trial.total.rate <= SHARE_SETTINGS.rate * 1.000001
    assert trial.total.burst <= SHARE_SETTINGS.burst * 1.000001
