"""The buffer between log lines and their output."""

import os

import pytest

from currantmast.runtime.logbuffers import MAX_IMPORTANT, MAX_ROUTINE, LogBuffer
from currantmast.runtime.logs import configure_logs, log_event


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    buffer = LogBuffer(writer)
    configure_logs('i1', stream=buffer)
    yield reader, writer, buffer
    configure_logs('-')
    for descriptor in (reader, writer):
        try:
            os.close(descriptor)
        except OSError:
            continue


def read_all(reader):
    parts = []
    while True:
        try:
            part = os.read(reader, 1 << 20)
        except BlockingIOError:
            break
        if not part:
            break
        parts.append(part)
    return b''.join(parts).decode()


def test_lines_come_in_order(pipe):
    reader, _, buffer = pipe
    for number in range(3):
        log_event('one', number=number, level='WARNING' if number == 1 else 'INFO')
    buffer.flush()
    lines = read_all(reader).splitlines()
    assert [line.rpartition('=')[2] for line in lines] == ['0', '1', '2']


def test_full_pipe_never_blocks_and_loss_is_counted(pipe):
    """Guards against a request that waits for a log line."""
    reader, _, buffer = pipe
    total = MAX_ROUTINE + 3000
    for number in range(total):
        log_event('routine', number=number)
        if number % 500 == 0:
            buffer.flush()
    text = read_all(reader)
    for _ in range(200):
        buffer.flush()
        text += read_all(reader)
    lost = [line for line in text.splitlines() if 'log_lines_lost' in line]
    assert lost
    written = sum('event=routine' in line for line in text.splitlines())
    assert written + sum(int(line.rpartition('=')[2]) for line in lost) == total


def test_warnings_outlive_a_flood_of_routine_lines(pipe):
    reader, _, buffer = pipe
    log_event('refused', level='WARNING')
    for _ in range(MAX_ROUTINE * 2):
        log_event('routine')
    assert len(buffer._important) == 1
    assert len(buffer._routine) == MAX_ROUTINE
    assert MAX_IMPORTANT


def test_closed_output_harms_nobody(pipe):
    reader, _, buffer = pipe
    os.close(reader)
    log_event('one')
    buffer.flush()
    log_event('two')
    buffer.flush()
