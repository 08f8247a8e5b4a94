"""Errors that end a start, before the node serves."""

from __future__ import annotations

EXIT_BAD_CONFIGURATION = 2  # of a process that can't start with its files


class StartError(Exception):
    """The node can't start with what it was given."""


class BadConfigError(StartError):
    """The fault is in the platform's configuration."""


class BadSettingsError(StartError):
    """The fault is in the operator's settings."""
