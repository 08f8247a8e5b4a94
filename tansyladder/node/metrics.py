"""Totals since the start: how each request ended for its client, and how many attempts were made.

A final answer is counted where it is given, once. The lock is held for an addition or a copy, never while
anything is written.
"""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Iterable
from enum import Enum

from tansyladder.net.protocol import BUSY, parse_keyword


class RequestOutcome(Enum):
    """What a request came to for its client; the value is the key of `stats`."""

    OK = "ok"  # its connection was established
    REJECTED = "shed"  # trying again is harmless
    FAILED = "errors"
    CLIENT_LEFT = "left"  # it disconnected before it had an answer

    @classmethod
    def of_answer(cls, answer: bytes) -> RequestOutcome:
        """What a client makes of a final answer of the node's own."""
        return cls.REJECTED if parse_keyword(answer) == BUSY else cls.FAILED


ATTEMPTS_KEY = "tries"
OUTCOME_KEYS = tuple(outcome.value for outcome in RequestOutcome)
MAX_CLASSES = 64  # with those that first lines named and no settings know


class Metrics:
    """One node's totals by class; classes that are gone, or that only clients know, have theirs too.

    Thread-safe.
    """

    def __init__(self, classes: Iterable[str]) -> None:
        self._lock = threading.Lock()
        self._classes: dict[str, Counter[str]] = {}
        self._reloads: Counter[str] = Counter()
        self._invalid_line_count = 0  # of first lines that named no class
        self.add_classes(classes)

    def add_classes(self, classes: Iterable[str]) -> None:
        """Begin to count these classes."""
        with self._lock:
            for name in classes:
                self._class_counter(name)

    def record_outcome(self, class_name: str, outcome: RequestOutcome) -> None:
        """Count a request that has its final answer, or no client to give it to."""
        self._increment(class_name, outcome.value)

    def record_attempt(self, class_name: str) -> None:
        """Count an attempt whose last byte was written to an endpoint."""
        self._increment(class_name, ATTEMPTS_KEY)

    def record_invalid_line(self) -> None:
        """Count a first line that could not be parsed and was answered."""
        with self._lock:
            self._invalid_line_count += 1

    def record_reload(self, applied: bool) -> None:
        """Count a configuration that was put in force, or refused, at SIGHUP."""
        with self._lock:
            self._reloads["config_applied" if applied else "config_rejected"] += 1

    def totals(self) -> dict[str, object]:
        """All metrics, by the keys of `stats`."""
        with self._lock:
            classes = {name: dict(counter) for name, counter in self._classes.items()}
            return {
                "responses": classes,
                ATTEMPTS_KEY: sum(counter[ATTEMPTS_KEY] for counter in self._classes.values()),
                "unread": self._invalid_line_count,
                "config_applied": self._reloads["config_applied"],
                "config_rejected": self._reloads["config_rejected"],
            }

    def total_counts(self) -> Counter[str]:
        """The counts by key, over all classes."""
        with self._lock:
            return sum(self._classes.values(), Counter[str]())

    def _increment(self, class_name: str, key: str) -> None:
        with self._lock:
            if class_name not in self._classes and len(self._classes) >= MAX_CLASSES:
                self._invalid_line_count += 1  # a client that invents names fills no memory
                return
            self._class_counter(class_name)[key] += 1

    def _class_counter(self, class_name: str) -> Counter[str]:
        return self._classes.setdefault(class_name, Counter(dict.fromkeys((*OUTCOME_KEYS, ATTEMPTS_KEY), 0)))
