"""A node that is told to end answers BUSY to requests that stream hosts are executing."""

from __future__ import annotations

import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.case import run_case
from standins.client import Connection
from standins.discovery import Discovery
from standins.host import StreamHost
from standins.platform import CannotRunError, Node, Platform
from standins.record import Record
from standins.settings import ZONE, request_class, small_deployment

CLASS = "export"
AIM = 4.5  # seconds within which a request is wanted to be set up
DEADLINE = 8.0  # seconds that a client waits
SET_UP_TIME = 3.9  # seconds that a stream host needs for such a request: within the aim
CLIENT_COUNT = 6
BEFORE_SIGTERM = 0.3  # seconds from the requests to the restart
COUNTED_DEADLINE = 3.0  # the platform's page: SIGKILL comes no earlier than this and 0.7 s after SIGTERM
KILL_MARGIN = 0.7
LATE_KILL = 0.1  # seconds by which SIGKILL comes later than it may
MAX_TRIES = 3
RETRY_PAUSE = 0.1  # seconds, if the node names none


class Client:
    """A client that repeats its request only after BUSY, which says that this is harmless."""

    def __init__(self, record: Record, number: int, nodes: list[Node]) -> None:
        self._record = record
        self._nodes = nodes
        self._name = f"client{number}"
        self._key = f"{number + 1:016x}"
        self.thread = threading.Thread(target=self._run, daemon=True)

    def _run(self) -> None:
        for node in self._nodes[:MAX_TRIES]:
            connection = Connection(self._record, self._name, node.name, node.address)
            answer = connection.open(self._key, CLASS, DEADLINE)
            connection.close()
            word, _, pause = answer.partition(" ")
            if word != "BUSY":
                return
            time.sleep(int(pause) / 1000 if pause else RETRY_PAUSE)


def restart(record: Record, node: Node) -> None:
    """Send SIGTERM, and SIGKILL when the platform may send it; then start the node again."""
    time.sleep(BEFORE_SIGTERM)
    if not record.find("received"):
        raise CannotRunError("no request had reached a stream host when the node was told to end")
    node.signal(signal.SIGTERM)
    if node.wait(COUNTED_DEADLINE + KILL_MARGIN + LATE_KILL) is None:
        node.signal(signal.SIGKILL)
        node.wait(COUNTED_DEADLINE)
    node.start()


def broken_rules(record: Record) -> list[str]:
    """Return each refusal of a request that a stream host had received whole and had not refused."""
    faults = []
    for got in record.find("got"):
        if not got.fields["answer"].startswith("BUSY"):
            continue
        received = record.find("received", id=got.fields["id"])
        if received and received[0].at < got.at:
            runs = len(record.find("executed", key=got.fields["key"]))
            faults.append(
                f"{got.fields['node']} answered {got.fields['answer']} at {got.at:.3f} to {got.actor}, whose "
                f"request {received[0].actor} had received at {received[0].at:.3f}; "
                f"it was executed {runs} times"
            )
    return faults


def play(record: Record, has_trouble: bool) -> list[str]:  # noqa: FBT001 - the interface of run_case
    """Send requests to one node, tell it to end, and look at what clients are answered."""
    hosts = [StreamHost(record, f"host{number}", SET_UP_TIME) for number in range(2)]
    discovery = Discovery(record, ZONE)
    for host in hosts:
        discovery.set_phase(host, "up")
    classes = [
        request_class("viewport", "read_like", 0.3, 1.2),
        request_class(CLASS, "non_idempotent", AIM, DEADLINE),
    ]
    with Platform(record, discovery.address, discovery.listed()) as platform:
        nodes = [platform.start_node(f"n{index}", small_deployment(classes, 2, index)) for index in range(2)]
        clients = [Client(record, number, nodes) for number in range(CLIENT_COUNT)]
        for client in clients:
            client.thread.start()
        if has_trouble:
            restart(record, nodes[0])
        for client in clients:
            client.thread.join(3 * DEADLINE)
        if not record.find("got"):
            raise CannotRunError("no client got an answer")
        return broken_rules(record)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
