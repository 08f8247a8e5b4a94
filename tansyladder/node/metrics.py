"""Totals since the start: how requests ended for their clients, and how many attempts were made.

Each final answer is counted once, where it is given. The lock is held for an addition or a copy, never
during I/O.
"""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Iterable
from enum import Enum

from tansyladder.net.protocol import BUSY, parse_keyword


class RequestOutcome(Enum):
    """How a request ended for its client; the value is the key in the answer to `stats`."""

    OK = "ok"  # its connection was established
    REJECTED = "shed"  # the client may retry
    FAILED = "errors"
    CLIENT_LEFT = "left"  # the client disconnected before it had an answer

    @classmethod
    def of_answer(cls, answer: bytes) -> RequestOutcome:
        """Return the outcome of a request whose final answer, from the node itself, is this line."""
        return cls.REJECTED if parse_keyword(answer) == BUSY else cls.FAILED


ATTEMPTS_KEY = "tries"
OUTCOME_KEYS = tuple(outcome.value for outcome in RequestOutcome)
MAX_CLASSES = 64  # including unknown classes that clients' first lines name


class Metrics:
    """One node's totals by class, including removed classes and unknown ones that clients name.

    Thread-safe.
    """

    def __init__(self, classes: Iterable[str]) -> None:
        self._lock = threading.Lock()
        self._classes: dict[str, Counter[str]] = {}
        self._reloads: Counter[str] = Counter()
        self._invalid_line_count = 0  # first lines without a class that is counted
        self.add_classes(classes)

    def add_classes(self, classes: Iterable[str]) -> None:
        """Begin to count these classes."""
        with self._lock:
            for name in classes:
                self._class_counter(name)

    def record_outcome(self, class_name: str, outcome: RequestOutcome) -> None:
        """Count a request that has its final answer, or whose client has left."""
        self._increment(class_name, outcome.value)

    def record_attempt(self, class_name: str) -> None:
        """Count an attempt whose first line was written to an endpoint completely."""
        self._increment(class_name, ATTEMPTS_KEY)

    def record_invalid_line(self) -> None:
        """Count a first line that could not be parsed and was answered."""
        with self._lock:
            self._invalid_line_count += 1

    def record_reload(self, *, applied: bool) -> None:
        """Count a configuration that was read after SIGHUP, and was either applied or rejected."""
        with self._lock:
            self._reloads["config_applied" if applied else "config_rejected"] += 1

    def totals(self) -> dict[str, object]:
        """Return all metrics, by their keys in the answer to `stats`."""
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
        """Return the counts by key, summed over all classes."""
        with self._lock:
            return sum(self._classes.values(), Counter[str]())

    def _increment(self, class_name: str, key: str) -> None:
        """Add one to a count of a class; a class beyond MAX_CLASSES counts as an invalid line."""
        with self._lock:
            if class_name not in self._classes and len(self._classes) >= MAX_CLASSES:
                self._invalid_line_count += 1  # class names invented by clients must not fill the memory
                return
            self._class_counter(class_name)[key] += 1

    def _class_counter(self, class_name: str) -> Counter[str]:
        """Return the counter of a class, adding it if it is new; called with the lock held."""
        return self._classes.setdefault(class_name, Counter(dict.fromkeys((*OUTCOME_KEYS, ATTEMPTS_KEY), 0)))
