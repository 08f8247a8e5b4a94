"""The numbers that the policy uses for request classes: a class whose settings change gets a new one."""

from __future__ import annotations

from dataclasses import replace

from tansyladder.config.platform import Config
from tansyladder.policy.settings import ClassSettings, Settings


class ClassNumbers:
    """Assigns a number to each version of each class; requests keep the number that they began with.

    Not thread-safe: the policy runner owns it and calls it under its own lock.
    """

    def __init__(self, config: Config) -> None:
        self._versions: dict[tuple[str, ClassSettings], int] = {}
        self.numbers_by_class = self._assign_numbers(config)

    def apply(self, config: Config) -> Settings:
        """Activate a configuration's classes; return its settings with all versions, by number."""
        self.numbers_by_class = self._assign_numbers(config)
        retired = frozenset(self._versions.values()) - set(self.numbers_by_class.values())
        versions = tuple(settings for _, settings in self._versions)  # in the order of their numbers
        return replace(config.settings, classes=versions, retired_classes=retired)

    def _assign_numbers(self, config: Config) -> dict[str, int]:
        """Return the number of each class of a configuration, by name; new versions get the next numbers."""
        versions = zip(config.class_names, config.settings.classes, strict=True)
        return {
            name: self._versions.setdefault((name, settings), len(self._versions))
            for name, settings in versions
        }
