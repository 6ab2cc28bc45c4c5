"""Tests that log output never blocks on its reader."""

import json
import os

from pimentolink.logs import MAX_LOG_BYTES, BoundedWriter


def test_reader_that_stops_reading_stops_nothing():
    reader, descriptor = os.pipe()
    writer = BoundedWriter(descriptor)
    line = json.dumps({"event": "answered", "padding": "x" * 200}) + "\n"
    count = 20 * MAX_LOG_BYTES // len(line)
    for _ in range(count):
        writer.write(line)
    assert writer.dropped > 0
    assert len(writer._pending) <= MAX_LOG_BYTES
    os.close(reader)
    os.close(descriptor)


def test_reader_that_goes_on_is_told_how_many_lines_it_missed():
    reader, descriptor = os.pipe()
    writer = BoundedWriter(descriptor)
    line = json.dumps({"event": "answered", "padding": "x" * 200}) + "\n"
    written = 0
    while not writer.dropped:
        writer.write(line)
        written += 1
    dropped = writer.dropped
    received = os.read(reader, 1_000_000)
    writer.flush()
    writer.write(line)
    while writer._pending:
        received += os.read(reader, 1_000_000)
        writer.flush()
    received += os.read(reader, 1_000_000)
    lines = received.decode().splitlines()
    assert json.loads(lines[-2]) == {"dropped": dropped}
    assert len(lines) == written - dropped + 2
    assert all(json.loads(item) for item in lines)


def test_reader_that_is_gone_is_no_failure():
    reader, descriptor = os.pipe()
    os.close(reader)
    writer = BoundedWriter(descriptor)
    assert writer.write("line\n") == 5
    os.close(descriptor)
