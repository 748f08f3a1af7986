"""Field types with limits that the files of operators share."""

import ipaddress
from typing import Annotated

from msgspec import Meta

from currantmast.messages import Address

HIGHEST_PORT = 65_535
ADDRESS_ALLOWED = 'an IPv4 number and a port, for example 127.0.0.1:8080'

Identifier = Annotated[str, Meta(pattern='^[a-z0-9][a-z0-9._-]{0,63}$')]
Digest = Annotated[str, Meta(pattern='^[0-9a-f]{64}$')]
Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Fraction = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1)]
Milliseconds = Annotated[int, Meta(ge=0, le=3_600_000)]


def parse_address(text: object, lowest_port: int = 1) -> Address:
    """Return the address that `text` names.

    Parameters
    ----------
    text : str
        ``ip:port``; host names are not accepted.
    lowest_port : int
        0 where the kernel may choose the port of a listener, otherwise 1.

    Raises
    ------
    ValueError
        If `text` is anything else.
    """
    host, _, port = str(text).rpartition(':')
    number = ipaddress.IPv4Address(host)
    is_number = port.isascii() and port.isdigit()
    if not is_number or not lowest_port <= int(port) <= HIGHEST_PORT:
        raise ValueError(ADDRESS_ALLOWED)
    return Address(str(number), int(port))
