"""Errors that end the process during its start, before it serves clients."""

from __future__ import annotations

EXIT_BAD_CONFIGURATION = 2  # exit code of a process that can't use its configuration or settings


class StartError(Exception):
    """The node can't start with its configuration or settings."""


class BadConfigError(StartError):
    """The error is in the platform's configuration."""


class BadSettingsError(StartError):
    """The error is in the operator's settings."""
