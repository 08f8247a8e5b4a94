"""Makes health checks on short connections: with STATS if endpoints report their load, else with PING."""

from __future__ import annotations

import socket
import threading
from datetime import timedelta
from typing import NamedTuple

from tansyladder.log import LogEvent, log
from tansyladder.net import protocol, sockets
from tansyladder.net.clock import MICROSECOND, now
from tansyladder.net.endpoint_address import EndpointAddress
from tansyladder.node.context import NodeContext
from tansyladder.node.work_queues import WorkQueues
from tansyladder.policy.events import AttemptStatus, HealthCheckResult

CHECK_TIMEOUT = timedelta(milliseconds=150)  # an overloaded endpoint answers ERR after 100 ms
WORKER_COUNT = 4
MAX_LOGGED_BYTES = 80  # of an invalid answer


class CheckResult(NamedTuple):
    """How a health check ended; `load` is empty if the endpoint sent no valid report."""

    status: AttemptStatus
    load: tuple[float, ...] = ()


class HealthChecker:
    """Makes the queued health checks on a few threads, with one connection for each check.

    The attributes that the threads use do not change after the start, so there is no lock.
    """

    def __init__(self, context: NodeContext, work_queues: WorkQueues) -> None:
        self._configuration = context.configuration
        self._policy = context.policy
        self._work_queues = work_queues
        self._report_columns = context.configuration.settings.report_columns
        self._request = protocol.STATS if self._report_columns else protocol.PING

        self._threads: list[threading.Thread] = []

    def start(self) -> None:
        """Start the threads, if the platform lets nodes check endpoints."""
        if self._configuration.settings.can_check_health:
            for number in range(WORKER_COUNT):
                thread = threading.Thread(target=self._run, name=f"health-check-{number}", daemon=True)
                thread.start()
                self._threads.append(thread)

    def stop(self) -> None:
        """End the threads, and wait until they have made the checks that are queued."""
        for _ in self._threads:
            self._work_queues.health_checks.put(None)
        for thread in self._threads:
            thread.join()

    def _run(self) -> None:
        while (endpoint := self._work_queues.health_checks.get()) is not None:
            started = now()
            result = self._check(endpoint)
            duration_us = (now() - started) // MICROSECOND
            self._policy.handle_events(
                HealthCheckResult(endpoint.number, result.status, duration_us, result.load)
            )

    def _check(self, endpoint: EndpointAddress) -> CheckResult:
        """Connect to an endpoint, send the request and read the answer with its load report."""
        deadline = now() + CHECK_TIMEOUT
        connect_timeout = min(self._configuration.settings.connect_timeout_us * MICROSECOND, CHECK_TIMEOUT)
        try:
            sock = socket.create_connection(endpoint.address, connect_timeout.total_seconds())
        except OSError:
            return CheckResult(AttemptStatus.CONNECT_FAILED)
        with sock:
            return self._exchange(endpoint, sock, deadline)

    def _exchange(self, endpoint: EndpointAddress, sock: socket.socket, deadline: timedelta) -> CheckResult:
        lines: list[bytes] = []
        try:
            sock.sendall(self._request + b"\r\n")
            if not self._read_answer(sock, deadline, lines):
                return CheckResult(AttemptStatus.ERROR)
        except TimeoutError:
            if not lines:
                return CheckResult(AttemptStatus.TIMEOUT)
            # The endpoint is healthy, and the load that it reported before is still used.
            self._log_invalid_report(endpoint, lines[0])
            return CheckResult(AttemptStatus.OK)
        except OSError:
            return CheckResult(AttemptStatus.RESET)
        except protocol.LineError as err:
            log(LogEvent.INVALID_RESPONSE, endpoint=endpoint.id, error=err)
            return CheckResult(AttemptStatus.ERROR)
        return self._parse_report(endpoint, lines[-1])

    def _read_answer(self, sock: socket.socket, deadline: timedelta, lines: list[bytes]) -> bool:
        """Read an answer into `lines`; return False if it does not begin with PONG.

        Raises:
            OSError: The connection ended, or the deadline passed, before the answer was complete.
            LineError: A line is too long.
        """
        buffer = protocol.LineBuffer()
        while not lines or not self._is_complete(lines):
            data = sockets.receive_by(sock, protocol.MAX_LINE_BYTES, deadline)
            if not data:
                raise ConnectionResetError("the connection ended before the answer was complete")
            lines += buffer.feed(data)
            if lines and protocol.parse_keyword(lines[0]) != protocol.PONG:
                return False
        return True

    def _is_complete(self, lines: list[bytes]) -> bool:
        """Return whether the answer is complete: a report is part of the PONG line or a line of its own."""
        return not self._report_columns or len(lines) > 1 or b"=" in lines[0]

    def _parse_report(self, endpoint: EndpointAddress, line: bytes) -> CheckResult:
        if not self._report_columns:
            return CheckResult(AttemptStatus.OK)
        load = protocol.parse_load_report(line, self._report_columns)
        if not load:
            self._log_invalid_report(endpoint, line)
        return CheckResult(AttemptStatus.OK, load)

    @staticmethod
    def _log_invalid_report(endpoint: EndpointAddress, line: bytes) -> None:
        log(LogEvent.INVALID_LOAD_REPORT, endpoint=endpoint.id, line=line[:MAX_LOGGED_BYTES])
