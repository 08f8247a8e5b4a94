"""The record of one run: what was sent, answered and executed, with times in seconds since its start."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True)
class Event:
    """One line of the record."""

    at: float  # seconds since the start of the run
    actor: str
    name: str
    fields: dict[str, str]

    def __str__(self) -> str:
        values = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.at:8.3f} {self.actor:<12} {self.name} {values}".rstrip()


class Record:
    """Collects events and writes them to a file. Thread-safe."""

    def __init__(self, path: Path) -> None:
        self._start = time.monotonic()
        self._lock = threading.Lock()
        self._file = path.open("w", encoding="utf-8")
        self.events: list[Event] = []

    @property
    def now(self) -> float:
        """Seconds since the start of the run."""
        return time.monotonic() - self._start

    def add(self, actor: str, name: str, **fields: object) -> Event:
        """Append an event that happens now."""
        with self._lock:
            event = Event(self.now, actor, name, {key: str(value) for key, value in fields.items()})
            self.events.append(event)
            self._file.write(f"{event}\n")
            self._file.flush()
        return event

    def find(self, name: str, **fields: object) -> list[Event]:
        """Return the events of a name whose fields have the given values, the oldest first."""
        wanted = {key: str(value) for key, value in fields.items()}
        with self._lock:
            return [
                event
                for event in self.events
                if event.name == name and all(event.fields.get(key) == wanted[key] for key in wanted)
            ]

    def close(self) -> None:
        """Close the file."""
        with self._lock:
            self._file.close()
