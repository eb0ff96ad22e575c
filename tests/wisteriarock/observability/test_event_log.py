"""Tests of the limits of the event log."""

import os

from wisteriarock.observability.event_log import BUFFER_MAX_BYTES, DETAIL_LINES_PER_S, EventLog

from tests.common import function_suite


class Clock:
    """A clock set by the test."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        """Return the current time in seconds."""
        return self.now_s


def _read_all(descriptor: int) -> list[str]:
    """Return the lines available without blocking."""
    return _read_bytes(descriptor).decode().splitlines()


def _read_bytes(descriptor: int) -> bytes:
    os.set_blocking(descriptor, False)
    chunks = []
    while True:
        try:
            chunk = os.read(descriptor, 65_536)
        except BlockingIOError:
            break
        if not chunk:
            break
        chunks.append(chunk)
    return b"".join(chunks)


def test_routine_events_are_limited_and_failures_are_kept():
    """Guards against a log that grows with the load or drops the lines of failed requests."""
    reading, writing = os.pipe()
    clock = Clock()
    log = EventLog(writing, clock, instance="i")
    for number in range(DETAIL_LINES_PER_S + 50):
        log.detail("hedge", request=f"r{number}")
    log.record("answered", request="failed")
    log.flush()
    lines = _read_all(reading)
    assert len(lines) == DETAIL_LINES_PER_S + 1
    assert "event=answered instance=i request=failed" in lines[-1]
    assert log.dropped_total == 50
    clock.now_s += 1.0
    log.detail("hedge", request="later")
    log.flush()
    assert any("request=later" in line for line in _read_all(reading))


def test_stalled_reader_does_not_block():
    """Guards against a process that blocks or runs out of memory if its output is not read."""
    reading, writing = os.pipe()
    clock = Clock()
    log = EventLog(writing, clock)
    text = "x" * 1_000
    for number in range(3_000):
        clock.now_s += 0.01
        log.detail("hedge", text=text)
        log.record("refused", number=number, text=text)
        log.flush()
    assert log._buffered_bytes <= 2 * BUFFER_MAX_BYTES + 2_000
    assert log.dropped_total > 0
    written = b""
    for _ in range(200):
        written += _read_bytes(reading)
        log.flush()
    lines = written.decode().splitlines()
    assert all(line.startswith("time_s=") for line in lines), "a line was cut"


def test_closed_output_does_not_stop_the_process():
    """Guards against an error in a timer or a stop because nothing reads the log any more."""
    reading, writing = os.pipe()
    log = EventLog(writing, Clock())
    os.close(reading)
    for number in range(3):
        log.record("refused", number=number)
    log.flush()
    assert log.dropped_total == 3


def test_dropped_lines_are_reported():
    """Guards against gaps in the log that are not visible in it."""
    reading, writing = os.pipe()
    clock = Clock()
    log = EventLog(writing, clock)
    for _ in range(DETAIL_LINES_PER_S + 5):
        log.detail("hedge")
    log.flush()
    clock.now_s += 1.0
    log.detail("hedge")
    log.flush()
    assert any("event=lines_dropped" in line and "total=5" in line for line in _read_all(reading))


def test_text_that_cannot_be_printed_is_escaped():
    """Guards against a name from outside that raises in the log, or that starts another line."""
    reading, writing = os.pipe()
    log = EventLog(writing, Clock(), instance="i \udcff")
    log.record("entry_bad", key="servers/\ud83d", reason="a\x0bb\x85c\u2028d\x00")
    log.record("entry_bad", key="\u043a\u0430\u0444\u0435")
    log.flush()
    lines = _read_all(reading)
    assert len(lines) == 2
    assert lines[0].endswith('key="servers/\\ud83d" reason="a\\u000bb\\u0085c\\u2028d\\u0000"')
    assert lines[1].endswith("key=\u043a\u0430\u0444\u0435")


load_tests = function_suite(globals())
