"""Global traffic steering: look-ups, routing, fleet-wide rates, at-most-once work.

`Client` is the caller's side, `Steering` the central object of an instance, and
`load_deployment` reads what operators write.
"""

from currantmast.client import Answer, Call, Client
from currantmast.clocks import Clock, LoopClock, ManualClock
from currantmast.deployment import Configuration, Deployment
from currantmast.errors import CurrantmastError
from currantmast.loading import load_deployment
from currantmast.outcomes import Done, NotRun, Outcome, OutcomeUnknown, Reason
from currantmast.steering import Steering

__all__ = (
    'Answer',
    'Call',
    'Client',
    'Clock',
    'Configuration',
    'CurrantmastError',
    'Deployment',
    'Done',
    'LoopClock',
    'ManualClock',
    'NotRun',
    'Outcome',
    'OutcomeUnknown',
    'Reason',
    'Steering',
    'load_deployment',
)
