"""Ports of fleets: none may be taken between its reservation and its use."""

import subprocess
import sys
from pathlib import Path

from currantmast.experiment.ports import PortReserver

HOST = '127.0.0.1'
OUTGOING_PORTS = Path('/proc/sys/net/ipv4/ip_local_port_range')
RESERVE = (
    'from currantmast.experiment.ports import PortReserver\n'
    'with PortReserver() as ports:\n'
    f'    print(*(ports.reserve({HOST!r}).port for _ in range(50)))\n'
)


def reserve(count):
    with PortReserver() as ports:
        return [ports.reserve(HOST).port for _ in range(count)]


def test_ports_are_out_of_reach_of_outgoing_connections():
    """Guards against a start that fails since a connection got a reserved port."""
    first_outgoing = int(OUTGOING_PORTS.read_text().split()[0])
    assert max(reserve(50)) < first_outgoing


def test_ports_of_two_test_processes_differ():
    """Guards against two suites that take each other's ports between bind and bind."""
    own = set(reserve(50))
    found = subprocess.run(
        [sys.executable, '-c', RESERVE], capture_output=True, text=True, check=True
    )
    assert own.isdisjoint(map(int, found.stdout.split()))


def test_ports_are_not_given_again_at_once():
    assert set(reserve(50)).isdisjoint(reserve(50))
