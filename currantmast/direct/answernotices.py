"""What targets ask for in answers to requests and to health queries."""

from currantmast.direct.rampup import RampCause
from currantmast.direct.targets import Target, TargetTable


def record_notices(
    targets: TargetTable, target: Target, *, leaving: bool, pause_s: float
) -> None:
    """Record what an answer of a target asks for.

    Parameters
    ----------
    targets : TargetTable
        All targets.
    target : Target
        The target that answered.
    leaving : bool
        Whether it leaves.
    pause_s : float
        Seconds for which it wants no request from this instance; 0 for none.
    """
    target_id = target.record.id
    if leaving:
        targets.notices.note_leaving(target_id)
    if pause_s and targets.notices.note_pause(target_id, pause_s):
        left_s = targets.notices.get_pause(target_id)
        target.ramp_up.begin(RampCause.pause, target.record.slots, left_s)
