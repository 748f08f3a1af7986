"""All checks that apply to every history."""

from itertools import chain

from currantmast.deployment import Deployment, Target
from currantmast.experiment import histories
from currantmast.experiment.controls import Controls
from currantmast.experiment.formats import read_executions
from currantmast.experiment.plans import FleetPlan
from currantmast.experiment.records import Execution, History
from currantmast.messages import Address

DRAIN_GRACE_S = 5
"""Seconds after the acceptance of a drain from which the target gets no new request."""

WITHDRAWAL_PATH_S = 2
"""Seconds from the check of a key to the start on a target: the queue wait of 0.5 s, one hop
between regions and one retry, with room for a busy test machine."""


def collect_executions(controls: Controls, plan: FleetPlan) -> list[Execution]:
    """Return what all targets of a fleet have executed.

    Raises
    ------
    TransportError
        If a target process did not answer.
    """
    return list(
        chain.from_iterable(read_executions(controls, host) for host in plan.hosts)
    )


def index_targets(deployment: Deployment) -> dict[str, Target]:
    """Return the targets of `deployment` by ``ip:port``."""
    targets = {}
    for pool in deployment.base.pools:
        for text in pool.addresses:
            host, _, port = text.rpartition(':')
            targets[text] = Target(
                id=text,
                service=pool.service,
                region=pool.region,
                failure_domain=pool.failure_domain,
                address=Address(host, int(port)),
                slots=pool.slots,
                connections=pool.connections,
            )
    return targets


def inspect_history(history: History, deployment: Deployment) -> histories.Violations:
    """Return every violation of a guarantee in `history`.

    Parameters
    ----------
    history : History
        What callers, targets and operators recorded.
    deployment : Deployment
        Deployment in force, with local addresses.
    """
    calls, executions = history.calls, history.executions
    found = (
        histories.check_answers(calls),
        histories.check_refusals(calls, executions),
        histories.check_at_most_once(calls, executions),
        histories.check_keys(calls, executions),
        histories.check_withdrawals(history, history.withdrawals, WITHDRAWAL_PATH_S),
        histories.check_headers(executions),
        histories.check_rates(history, deployment.base.teams),
        histories.check_shifts(history, deployment.operations.shifts),
        histories.check_slots(executions, index_targets(deployment)),
        histories.check_drains(executions, history.drains, DRAIN_GRACE_S),
        histories.check_versions(history.versions),
    )
    return tuple(chain.from_iterable(found))
