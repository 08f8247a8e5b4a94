"""A test fails if it leaves a thread running after its registered stop functions were called."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests import threads
from tests.suite import run_suite

SUITE = """
import threading

from tests import conftest

conftest.MAX_WAIT_SECONDS = 0.2


def test_with_a_thread():
    end = threading.Event()
    threading.Thread(target=end.wait, name="endless", daemon=True).start()
    {stop}
"""


@pytest.mark.parametrize(
    ("stop", "expected_output"),
    [
        ("", "1 passed, 1 error"),
        ("", "the test has left these threads running: endless"),
        ("end.set()", "1 passed in"),
        ("conftest.stop_at_end_of_test(end.set)", "1 passed in"),
    ],
)
def test_a_thread_that_outlives_its_test_fails_it(tmp_path: Path, stop: str, expected_output: str) -> None:
    run = run_suite(tmp_path, threads, SUITE.format(stop=stop))
    assert expected_output in run.stdout
