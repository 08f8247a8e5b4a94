"""The errors of configurations: one hierarchy for the platform's file and the operator's settings."""

from __future__ import annotations


class ConfigurationError(Exception):
    """A configuration that can't be used; the message begins with the key at fault, if there is one."""

    def __init__(self, key: str, problem: str) -> None:
        """`key`: its name in the file, or the variable that names the file; empty: the whole file."""
        super().__init__(f"{key}: {problem}" if key else problem)
        self.key = key
        self.problem = problem


class ConfigError(ConfigurationError):
    """A platform's configuration that can't be used."""


class OptionsError(ConfigurationError):
    """An operator's settings that can't be used."""
