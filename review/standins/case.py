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
TIME_LIMIT = 110  # seconds, after which a case ends all that it has started


def _stop(number: int, _frame: object) -> None:
    raise CannotRunError(f"ended by {signal.Signals(number).name}")


def run_case(folder: Path, play: Callable[[Record, bool], list[str]]) -> int:
    """Play a case and write its record; return the exit code.

    `play` gets the record and whether to cause the disruption, and returns how the rule was broken. It raises
    CannotRunError if the situation of the case did not arise.
    """
    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _stop)
    signal.alarm(TIME_LIMIT)
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        faults = play(record, has_trouble)
    except (CannotRunError, OSError) as error:
        record.add("verdict", "could_not_run", why=error)
        print(f"could not run: {error}", file=sys.stderr)
        return COULD_NOT_RUN
    for fault in faults:
        record.add("verdict", "broken", why=fault)
        print(f"broken: {fault}")
    record.add("verdict", "rule_broken" if faults else "rule_held", trouble=int(has_trouble))
    return BROKEN if faults else HELD
