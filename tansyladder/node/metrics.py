"""Totals since the start: how each request ended for its client, and what was written to members.

A final answer is counted where it is given, once. The lock is held for an addition or a copy, never while
anything is written.
"""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Iterable
from enum import Enum

from tansyladder.net.protocol import BUSY, first_word


class Ending(Enum):
    """What a request came to, for its client."""

    OK = "ok"  # brought up
    SHED = "shed"  # refused: trying again is harmless
    ERRORS = "errors"  # failed
    LEFT = "left"  # the client went before it had an answer

    @classmethod
    def of(cls, answer: bytes) -> Ending:
        """What a client makes of a line of the node's own."""
        return cls.SHED if first_word(answer) == BUSY else cls.ERRORS


class Metrics:
    """One node's totals, by class; a class that is gone, or that only clients know, has its metrics too."""

    def __init__(self, classes: Iterable[str]) -> None:
        self._lock = threading.Lock()
        self._classes: dict[str, Counter[str]] = {}
        self._files: Counter[str] = Counter()
        self._unread = 0  # first lines that were answered ERR and named no class
        self.know(classes)

    def know(self, classes: Iterable[str]) -> None:
        """From now on these classes have metrics too."""
        with self._lock:
            for name in classes:
                self._begin(name)

    def answered(self, cls: str, ending: Ending) -> None:
        """A request has its final answer, or nobody to give it to."""
        self._add(cls, ending.value)

    def tried(self, cls: str) -> None:
        """An attempt's last byte was written to a member."""
        self._add(cls, TRIES)

    def unread(self) -> None:
        """A first line that made no sense was answered."""
        with self._lock:
            self._unread += 1

    def file(self, applied: bool) -> None:
        """A configuration was taken, or turned down, at SIGHUP."""
        with self._lock:
            self._files["config_applied" if applied else "config_rejected"] += 1

    def totals(self) -> dict[str, object]:
        """All of them, by their names."""
        with self._lock:
            classes = {name: dict(counted) for name, counted in self._classes.items()}
            return {
                "responses": classes,
                TRIES: sum(counted[TRIES] for counted in self._classes.values()),
                "unread": self._unread,
                "config_applied": self._files["config_applied"],
                "config_rejected": self._files["config_rejected"],
            }

    def sums(self) -> Counter[str]:
        """Over all classes."""
        with self._lock:
            return sum(self._classes.values(), Counter[str]())

    def _add(self, cls: str, key: str) -> None:
        with self._lock:
            if cls not in self._classes and len(self._classes) >= MOST_CLASSES:
                self._unread += 1  # who invents names fills no memory
                return
            self._begin(cls)[key] += 1

    def _begin(self, cls: str) -> Counter[str]:
        return self._classes.setdefault(cls, Counter(dict.fromkeys((*ENDINGS, TRIES), 0)))


MOST_CLASSES = 64  # with those that first lines named and no settings knew
ENDINGS = tuple(ending.value for ending in Ending)
TRIES = "tries"
