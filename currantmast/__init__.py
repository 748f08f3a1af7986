"""Global traffic steering: look-ups, routing, fleet-wide rates, at-most-once work.

`Client` is the caller's side, `Steering` the central object of an instance, and
`load_deployment` reads what operators write.

The public names are imported when they are first used: a process that needs only one part
starts without the libraries of the others.
"""

from importlib import import_module
from types import MappingProxyType
from typing import Any

_MODULES = MappingProxyType(
    {
        'Answer': 'client',
        'Call': 'client',
        'Client': 'client',
        'Clock': 'clocks',
        'Configuration': 'deployment',
        'CurrantmastError': 'errors',
        'Deployment': 'deployment',
        'Done': 'outcomes',
        'LoopClock': 'clocks',
        'ManualClock': 'clocks',
        'NotRun': 'outcomes',
        'Outcome': 'outcomes',
        'OutcomeUnknown': 'outcomes',
        'Reason': 'outcomes',
        'Steering': 'steering',
        'load_deployment': 'loading',
    }
)

__all__ = tuple(_MODULES)


def __getattr__(name: str) -> Any:  # noqa: WPS413 - defers the imports
    """Return a public name.

    Raises
    ------
    AttributeError
        If the package has no such name.
    """
    module = _MODULES.get(name)
    if module is None:
        raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
    return getattr(import_module(f'{__name__}.{module}'), name)
