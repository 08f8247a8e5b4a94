"""Fixtures of all tests of the package."""

from __future__ import annotations

from tests.remaining_threads import no_thread_remains

__all__ = ["no_thread_remains"]
