"""Records and control messages, and their MessagePack codec."""

import msgspec

from currantmast.errors import TransportError


class Address(msgspec.Struct, frozen=True):
    """An IP address and port.

    Parameters
    ----------
    host : str
        IP number; names are not accepted.
    port : int
        Port number; 0 lets the kernel choose.
    """

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'


class Member(msgspec.Struct, frozen=True):
    """One instance as the fleet record lists it.

    Parameters
    ----------
    id : str
        Name of the instance, stable over restarts.
    incarnation : str
        Random token of one run of the process.
    region : str
        Region of the instance.
    failure_domain : str
        Failure domain of the instance.
    public, peer, control : Address
        Listening addresses for callers, peers and control messages.
    leaving : bool
        Whether the instance is shutting down.
    """

    id: str
    incarnation: str
    region: str
    failure_domain: str
    public: Address
    peer: Address
    control: Address
    leaving: bool = False


class Departure(msgspec.Struct, frozen=True):
    """A former member whose lease may still be valid.

    Parameters
    ----------
    member : Member
        The member as the last record listed it.
    epoch : int
        First epoch without it.
    """

    member: Member
    epoch: int


class WitnessSet(msgspec.Struct, frozen=True):
    """Witnesses of earlier epochs.

    Parameters
    ----------
    last_epoch : int
        Last epoch in which exactly these were the witnesses.
    witnesses : tuple of str
        Ids of the witnesses.
    """

    last_epoch: int
    witnesses: tuple[str, ...]


class FleetRecord(msgspec.Struct, frozen=True):
    """The members and witnesses of the fleet under one epoch.

    Parameters
    ----------
    epoch : int
        Number of this record; each change adds one.
    members : tuple of Member
        Members in order of their ids.
    witnesses : tuple of str
        Ids of the members whose majority renews leases.
    departures : tuple of Departure
        Former members not yet known to have expired, so that an instance
        without history waits for them.
    past_witnesses : tuple of WitnessSet
        Earlier witnesses that may still renew a lease, oldest first.
    """

    epoch: int
    members: tuple[Member, ...] = ()
    witnesses: tuple[str, ...] = ()
    departures: tuple[Departure, ...] = ()
    past_witnesses: tuple[WitnessSet, ...] = ()


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """What an instance would use of a budget, in units per second."""

    budget: str
    rate: float


class ShareHeld(msgspec.Struct, frozen=True, array_like=True):
    """The share of a budget that an instance holds, as it reports it.

    Parameters
    ----------
    budget : str
        Name of the budget.
    ledger_epoch, sequence : int
        Order of the grant that the share comes from.
    rate : float
        Units per second.
    burst : float
        Units that may be used at once.
    returned : float
        Units that the holder gave up when it applied the grant.
    """

    budget: str
    ledger_epoch: int
    sequence: int
    rate: float
    burst: float
    returned: float = 0


class ShareGrant(msgspec.Struct, frozen=True, array_like=True):
    """A share that the owner of a budget allots to one instance.

    Parameters
    ----------
    budget : str
        Name of the budget.
    ledger_epoch : int
        Fleet epoch under which the granting owner opened its ledger.
    sequence : int
        Number of the grant within the ledger epoch.
    rate : float
        Units per second.
    burst : float
        Units that may be used at once.
    tokens : float
        Units that the owner hands over with an added burst, once.
    """

    budget: str
    ledger_epoch: int
    sequence: int
    rate: float
    burst: float
    tokens: float = 0


class Capacity(msgspec.Struct, frozen=True, array_like=True):
    """Slots of one service that an owner reports.

    Parameters
    ----------
    service : str
        Service of the targets.
    free : int
        Slots that can start a request now.
    usable : int
        Slots of all owned targets that take work.
    queued : int
        Requests waiting for a slot.
    """

    service: str
    free: int
    usable: int
    queued: int


class Remaining(msgspec.Struct, frozen=True, array_like=True):
    """Requests still running on a target that its sender no longer owns."""

    target: str
    running: int


class Suspect(msgspec.Struct, frozen=True, array_like=True):
    """A request that was running when a target died.

    Parameters
    ----------
    fingerprint : str
        Digest that identifies the request.
    state : str
        ``suspect``, ``alone`` (runs alone at the sender), ``quarantined`` or ``cleared``.
    age_s : float
        Seconds since the state was entered, counted by the sender.
    """

    fingerprint: str
    state: str
    age_s: float


class Heartbeat(msgspec.Struct, frozen=True, tag='heartbeat'):
    """Periodic report of an instance to a peer.

    Parameters
    ----------
    sender, incarnation : str
        Identity of the sender.
    epoch : int
        Epoch of the fleet record that the sender has adopted.
    version : int
        Configuration version in force at the sender.
    sent_at : float
        Monotonic time of the sender in seconds; only echoed, never compared.
    ready : bool
        Whether the sender can admit keyed requests.
    silent : tuple of str
        Members that the sender has not heard from within the removal time.
    """

    sender: str
    incarnation: str
    epoch: int
    version: int
    sent_at: float
    ready: bool = False
    demands: tuple[Demand, ...] = ()
    shares: tuple[ShareHeld, ...] = ()
    capacity: tuple[Capacity, ...] = ()
    remaining: tuple[Remaining, ...] = ()
    suspects: tuple[Suspect, ...] = ()
    silent: tuple[str, ...] = ()


class HeartbeatAck(msgspec.Struct, frozen=True, tag='ack'):
    """Answer to a heartbeat.

    Parameters
    ----------
    sender, incarnation : str
        Identity of the acknowledging instance.
    epoch, version : int
        Fleet epoch and configuration version that it has adopted.
    echoed_incarnation : str
        Incarnation that sent the heartbeat.
    echoed_sent_at : float
        ``sent_at`` of the heartbeat.
    renews : bool
        Whether the acknowledging instance supports the sender's lease.
    grants : tuple of ShareGrant
        Shares of budgets that the acknowledging instance owns.
    """

    sender: str
    incarnation: str
    epoch: int
    version: int
    echoed_incarnation: str
    echoed_sent_at: float
    renews: bool
    grants: tuple[ShareGrant, ...] = ()


ControlMessage = Heartbeat | HeartbeatAck

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(ControlMessage)


class MessageRejected(TransportError):
    """A control message could not be decoded."""


def encode_message(message: ControlMessage) -> bytes:
    """Return `message` as MessagePack."""
    return _encoder.encode(message)


def decode_message(payload: bytes) -> ControlMessage:
    """Return the message in `payload`.

    Raises
    ------
    MessageRejected
        If `payload` is no control message.
    """
    try:
        return _decoder.decode(payload)
    except msgspec.MsgspecError as error:
        raise MessageRejected(str(error)) from error
