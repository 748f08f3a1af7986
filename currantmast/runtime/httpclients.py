"""HTTP clients that send every request at most once."""

from geventhttpclient import HTTPClient

from currantmast.messages import Address

# The library computes its attempts as the pool's size plus one.
NO_RETRY_SIZE = -1


class SingleAttemptClient(HTTPClient):
    """HTTP client that never sends a request a second time.

    geventhttpclient sends GET, PUT and DELETE again by itself when a connection
    closes without an answer. A write whose answer was lost would then run twice,
    or its own first run would look like another writer's conflict.

    Parameters
    ----------
    address : Address
        Address of the server.
    timeout_s : float
        Longest time in seconds without progress, also for connecting.
    connections : int
        Connections in use at once.
    """

    def __init__(self, address: Address, timeout_s: float, connections: int) -> None:
        super().__init__(
            address.host,
            port=address.port,
            connection_timeout=timeout_s,
            network_timeout=timeout_s,
            concurrency=connections,
        )
        self._connection_pool.size = NO_RETRY_SIZE
