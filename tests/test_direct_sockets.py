"""Questions about sockets."""

import fcntl
import resource

import gevent.socket
import pytest

from currantmast.direct.sockets import is_readable

# Above the descriptors that `select` can handle.
HIGH_DESCRIPTOR = 1100


@pytest.fixture
def pair():
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, 2 * HIGH_DESCRIPTOR), hard))
    near, far = gevent.socket.socketpair()
    high = fcntl.fcntl(near.fileno(), fcntl.F_DUPFD, HIGH_DESCRIPTOR)
    with near, far, gevent.socket.socket(fileno=high) as sock:
        yield sock, far


def test_socket_with_a_high_descriptor_can_be_asked(pair):
    """Guards against an instance that ends when it has more than 1,023 descriptors."""
    sock, far = pair
    assert not is_readable(sock)
    far.send(b'x')
    assert is_readable(sock)


def test_closed_connection_is_readable(pair):
    sock, far = pair
    far.close()
    assert is_readable(sock)
