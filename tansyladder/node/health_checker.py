"""Probes: one short connection each, `STATS` where members report their load and `PING` elsewhere."""

from __future__ import annotations

import socket
import threading
from datetime import timedelta

from tansyladder.log import LogEvent, log
from tansyladder.net import protocol
from tansyladder.net.action_queue import Endpoint
from tansyladder.net.clock import MICROSECOND, now, seconds_left
from tansyladder.node.policy_runner import PolicyRunner
from tansyladder.policy.events import AttemptStatus, HealthCheckResult

WAIT = timedelta(milliseconds=150)  # a member answers ERR after 100 ms where it has no time
WORKERS = 4


class HealthChecker:
    """A few threads that take probes off the core's queue."""

    def __init__(self, core: PolicyRunner) -> None:
        self._core = core
        self._columns = core.config.settings.report_columns

    def start(self) -> None:
        if self._core.config.settings.can_check_health:
            for i in range(WORKERS):
                threading.Thread(target=self._run, name=f"probe-{i}", daemon=True).start()

    def _run(self) -> None:
        while True:
            member = self._core.health_checks.get()
            started = now()
            status, load = self._probe(member)
            took = (now() - started) // MICROSECOND
            self._core.handle_events(HealthCheckResult(member.number, status, took, load))

    def _probe(self, member: Endpoint) -> tuple[AttemptStatus, tuple[float, ...]]:
        until, connect = now() + WAIT, self._core.config.settings.connect_timeout_us * MICROSECOND
        try:
            sock = socket.create_connection(member.address, min(connect, WAIT).total_seconds())
        except OSError:
            return AttemptStatus.CONNECT_FAILED, ()
        with sock:
            try:
                sock.sendall((protocol.STATS if self._columns else protocol.PING) + b"\r\n")
                buffer, lines = protocol.LineBuffer(), list[bytes]()
                while not lines or not self._told(lines):
                    if not (left := seconds_left(until)):
                        raise TimeoutError  # however many bytes came now and then
                    sock.settimeout(left)
                    data = sock.recv(protocol.MAX_LINE_BYTES)
                    if not data:
                        return AttemptStatus.RESET, ()
                    lines += buffer.feed(data)
                    if protocol.first_word(lines[0] if lines else b"PONG") != protocol.PONG:
                        return AttemptStatus.ERROR, ()
            except TimeoutError:
                if lines:  # it answers, and has no report: it stays as it was known
                    log(LogEvent.INVALID_LOAD_REPORT, member=member.id, line=lines[0][:80])
                return AttemptStatus.OK if lines else AttemptStatus.TIMEOUT, ()
            except OSError:
                return AttemptStatus.RESET, ()
            except protocol.LineError as err:
                log(LogEvent.INVALID_RESPONSE, member=member.id, why=err)
                return AttemptStatus.ERROR, ()
        report = protocol.parse_load_report(lines[-1], self._columns) if self._columns else ()
        if self._columns and not report:
            log(LogEvent.INVALID_LOAD_REPORT, member=member.id, line=lines[-1][:80])
        return AttemptStatus.OK, report

    def _told(self, lines: list[bytes]) -> bool:
        """Whether the answer is whole: a report stands behind PONG, or in a line of its own."""
        return not self._columns or len(lines) > 1 or b"=" in lines[0]
