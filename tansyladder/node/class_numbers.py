"""The numbers under which the policy knows request classes: a class whose settings change gets a new one."""

from __future__ import annotations

from dataclasses import replace

from tansyladder.config.platform import Config
from tansyladder.policy.settings import ClassSettings, Settings


class ClassNumbers:
    """Numbers each version of each class once; requests keep the number that they began with.

    Not thread-safe: the policy runner owns it and calls it under its own lock.
    """

    def __init__(self, config: Config) -> None:
        self._versions: dict[tuple[str, ClassSettings], int] = {}
        self.in_force = self._number(config)

    def apply(self, config: Config) -> Settings:
        """Put a configuration's classes in force; returns its settings with all versions, by number."""
        self.in_force = self._number(config)
        retired = frozenset(self._versions.values()) - set(self.in_force.values())
        versions = tuple(settings for _, settings in self._versions)  # a dictionary keeps their order
        return replace(config.settings, classes=versions, retired_classes=retired)

    def _number(self, config: Config) -> dict[str, int]:
        named = zip(config.class_names, config.settings.classes, strict=True)
        return {key[0]: self._versions.setdefault(key, len(self._versions)) for key in named}
