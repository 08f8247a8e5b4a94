"""The errors of the platform's configuration and the operator's settings, in one hierarchy."""

from __future__ import annotations


class ConfigurationError(Exception):
    """An invalid or unreadable configuration; the message begins with the invalid key, if there is one."""

    def __init__(self, key: str, problem: str) -> None:
        """Build the message.

        Args:
            key: the key's path, or the environment variable that names the file; empty for the whole file.
            problem: what is wrong.
        """
        super().__init__(f"{key}: {problem}" if key else problem)
        self.key = key
        self.problem = problem


class ConfigError(ConfigurationError):
    """The platform's configuration is invalid or unreadable."""


class OptionsError(ConfigurationError):
    """The operator's settings are invalid or unreadable."""
