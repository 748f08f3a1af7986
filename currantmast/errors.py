"""The exception tree: every failure of the package derives from one root."""


class CurrantmastError(Exception):
    """Root of all failures that this package raises."""


class SettingsError(CurrantmastError):
    """A settings or deployment file was rejected.

    Parameters
    ----------
    file : str
        Path of the file as the user gave it.
    field : str
        Path of the field, for example ``teams[2].rate``.
    found : object
        Value found in the file.
    allowed : str
        Description of the allowed values.
    """

    def __init__(self, file: str, field: str, found: object, allowed: str) -> None:
        self.file = file
        self.field = field
        self.found = found
        self.allowed = allowed
        super().__init__(f'{file}: {field}: found {found!r}, allowed: {allowed}')


class ConfigurationError(CurrantmastError):
    """The configuration in the store cannot be read or changed as asked."""


class ConfigurationMissing(ConfigurationError):
    """Nothing has been published to the store."""


class ConfigurationDamaged(ConfigurationError):
    """A page of the configuration is absent from the store or altered."""


class OperationRejected(ConfigurationError):
    """An operation names something that the deployment does not have.

    Parameters
    ----------
    operation : str
        The operation, for example ``drain region:fife``; never a key.
    reason : str
        Why it cannot be in force.
    """

    def __init__(self, operation: str, reason: str) -> None:
        self.operation = operation
        self.reason = reason
        super().__init__(f'{operation}: {reason}')


class BlocksOverlap(CurrantmastError):
    """Client blocks of two sites overlap.

    Parameters
    ----------
    block, other_block : str
        The blocks in CIDR notation.
    site, other_site : str
        The sites that name them.
    """

    def __init__(
        self, block: str, site: str, other_block: str, other_site: str
    ) -> None:
        self.block = block
        self.site = site
        self.other_block = other_block
        self.other_site = other_site
        super().__init__(f'{block} of {site} overlaps {other_block} of {other_site}')


class StoreError(CurrantmastError):
    """A call on the object API failed."""


class StoreUnavailable(StoreError):
    """The object API did not answer, or answered that it is unavailable."""


class StoreAnswerTooLarge(StoreUnavailable):
    """An answer of the object API was longer than an instance reads."""


class StoreOutcomeUnknown(StoreError):
    """A write may have taken effect; reading back did not tell."""


class ValueTooLarge(StoreError):
    """A value exceeds the largest size that the object API accepts.

    Parameters
    ----------
    name : str
        Name of the object.
    size, limit : int
        Size of the value and largest size accepted, in bytes.
    """

    def __init__(self, name: str, size: int, limit: int) -> None:
        self.name = name
        self.size = size
        self.limit = limit
        super().__init__(f'{name}: {size} bytes, at most {limit} are accepted')


class StoreConflict(StoreError):
    """A conditional update lost against another writer.

    Parameters
    ----------
    name : str
        Name of the object.
    current : int
        Version that the object has in the store; 0 when it is absent.
    """

    def __init__(self, name: str, current: int) -> None:
        self.name = name
        self.current = current
        super().__init__(f'{name}: conflict, the current version is {current}')


class StoreBudgetExceeded(StoreError):
    """The call budget of this process is used up for the moment."""


class WatchExpired(StoreError):
    """The revision to resume a watch from is no longer kept by the store."""


class TransportError(CurrantmastError):
    """An exchange with a peer or target failed."""


class NothingSent(TransportError):
    """The exchange failed before any byte of the request can have left."""


class ExchangeBroken(TransportError):
    """The exchange failed after bytes of the request may have left."""


class AnswerIncomplete(ExchangeBroken):
    """An answer ended before its announced length."""


class AnswerTooLarge(AnswerIncomplete):
    """An answer went beyond a bound, so the rest of it is not read.

    Parameters
    ----------
    kind : str
        What was too large: overhead, headers, interim, foreign, body or memory.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        super().__init__(f'too large: {kind}')


class StatusInvalid(AnswerIncomplete):
    """An answer has a status that no answer may have, so it isn't one.

    Parameters
    ----------
    status : int
        The status.
    """

    def __init__(self, status: int) -> None:
        self.status = status
        super().__init__(f'status {status:03d}')


class ProgressTimeout(ExchangeBroken):
    """The other end made no progress for longer than the hop allows."""


class LoopRejected(CurrantmastError):
    """The event loop does not run on the required backend."""


class TaskFailed(CurrantmastError):
    """A supervised task failed more often than its supervisor allows.

    Parameters
    ----------
    name : str
        Name of the task.
    reason : Exception
        The last failure of the task.
    """

    def __init__(self, name: str, reason: BaseException) -> None:
        self.name = name
        self.reason = reason
        super().__init__(f'task {name} failed: {type(reason).__name__}: {reason}')
