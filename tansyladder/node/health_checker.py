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

CHECK_TIMEOUT = timedelta(milliseconds=150)  # a member answers ERR after 100 ms where it has no time
WORKER_COUNT = 4


class HealthChecker:
    """A few threads that take probes off the core's queue."""

    def __init__(self, runner: PolicyRunner) -> None:
        self._runner = runner
        self._report_columns = runner.config.settings.report_columns

    def start(self) -> None:
        if self._runner.config.settings.can_check_health:
            for worker_index in range(WORKER_COUNT):
                threading.Thread(target=self._run, name=f"probe-{worker_index}", daemon=True).start()

    def _run(self) -> None:
        while True:
            endpoint = self._runner.health_checks.get()
            started = now()
            status, load = self._check(endpoint)
            duration_us = (now() - started) // MICROSECOND
            self._runner.handle_events(HealthCheckResult(endpoint.number, status, duration_us, load))

    def _check(self, endpoint: Endpoint) -> tuple[AttemptStatus, tuple[float, ...]]:
        deadline, connect = (
            now() + CHECK_TIMEOUT,
            self._runner.config.settings.connect_timeout_us * MICROSECOND,
        )
        try:
            sock = socket.create_connection(endpoint.address, min(connect, CHECK_TIMEOUT).total_seconds())
        except OSError:
            return AttemptStatus.CONNECT_FAILED, ()
        with sock:
            try:
                sock.sendall((protocol.STATS if self._report_columns else protocol.PING) + b"\r\n")
                buffer, lines = protocol.LineBuffer(), list[bytes]()
                while not lines or not self._is_complete(lines):
                    if not (remaining_seconds := seconds_left(deadline)):
                        raise TimeoutError  # however many bytes came now and then
                    sock.settimeout(remaining_seconds)
                    data = sock.recv(protocol.MAX_LINE_BYTES)
                    if not data:
                        return AttemptStatus.RESET, ()
                    lines += buffer.feed(data)
                    if protocol.first_word(lines[0] if lines else b"PONG") != protocol.PONG:
                        return AttemptStatus.ERROR, ()
            except TimeoutError:
                if lines:  # it answers, and has no report: it stays as it was known
                    log(LogEvent.INVALID_LOAD_REPORT, member=endpoint.id, line=lines[0][:80])
                return AttemptStatus.OK if lines else AttemptStatus.TIMEOUT, ()
            except OSError:
                return AttemptStatus.RESET, ()
            except protocol.LineError as err:
                log(LogEvent.INVALID_RESPONSE, member=endpoint.id, why=err)
                return AttemptStatus.ERROR, ()
        report = protocol.parse_load_report(lines[-1], self._report_columns) if self._report_columns else ()
        if self._report_columns and not report:
            log(LogEvent.INVALID_LOAD_REPORT, member=endpoint.id, line=lines[-1][:80])
        return AttemptStatus.OK, report

    def _is_complete(self, lines: list[bytes]) -> bool:
        """Whether the answer is whole: a report stands behind PONG, or in a line of its own."""
        return not self._report_columns or len(lines) > 1 or b"=" in lines[0]
