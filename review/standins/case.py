"""Runs a case: its exit code is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run."""

from __future__ import annotations

import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path

from standins.platform import CannotRunError
from standins.record import Record

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
STOPPING_SIGNALS = (signal.SIGALRM, signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
TIME_LIMIT = 100  # seconds, after which a case ends all that it has started


def _stop(number: int, _frame: object) -> None:
    for later in STOPPING_SIGNALS:  # a second one must not cut off the end of what was started
        signal.signal(later, signal.SIG_IGN)
    raise CannotRunError(f"ended by {signal.Signals(number).name}")


def run_case(folder: Path, play: Callable[[Record, bool], list[str]]) -> int:
    """Play a case and write its record; return the exit code.

    `play` gets the record and whether to cause the disruption, and returns how the rule was broken. It raises
    CannotRunError if the situation of the case did not arise.
    """
    for number in STOPPING_SIGNALS:
        signal.signal(number, _stop)
    signal.alarm(TIME_LIMIT)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        record = Record(folder / "record.txt")
        try:
            faults = play(record, has_trouble)
        except Exception as error:
            record.add("verdict", "could_not_run", why=repr(error))
            raise
    except Exception as error:  # noqa: BLE001 - Python's exit code for an exception is that of a broken rule
        print(f"could not run: {error!r}", file=sys.stderr)
        return COULD_NOT_RUN
    for fault in faults:
        record.add("verdict", "broken", why=fault)
        print(f"broken: {fault}")
    record.add("verdict", "rule_broken" if faults else "rule_held", trouble=int(has_trouble))
    return BROKEN if faults else HELD
