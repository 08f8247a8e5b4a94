"""Deprecated names of the operator's settings keys: accepted, and reported by `tansyladder check`."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

from tansyladder.config.errors import OptionsError


class DeprecatedKey(NamedTuple):
    """A deprecated name of a key, and the name that replaces it in the same section."""

    section: str
    name: str
    replacement: str

    @property
    def path(self) -> str:
        """The section and the deprecated name, as in `resume.parked`."""
        return f"{self.section}.{self.name}"

    @property
    def replacement_path(self) -> str:
        """The section and the current name, as in `resume.max_suspended`."""
        return f"{self.section}.{self.replacement}"


DEPRECATED_KEYS = (
    DeprecatedKey("resume", "parked", "max_suspended"),
    DeprecatedKey("resume", "remembered", "retained_end_reasons"),
    DeprecatedKey("documents", "cut_off", "on_lease_expiry"),
    DeprecatedKey("documents", "stamps", "decision_log"),
)


def rename_deprecated_keys(sections: dict[str, Any]) -> tuple[DeprecatedKey, ...]:
    """Rename the deprecated keys of parsed settings in place, and return the ones that were found.

    Raises:
        OptionsError: a section contains both the deprecated and the current name.
    """
    found = []
    for deprecated in DEPRECATED_KEYS:
        section = sections.get(deprecated.section)
        if not isinstance(section, dict) or deprecated.name not in section:
            continue
        if deprecated.replacement in section:
            raise OptionsError(
                deprecated.path, f"given together with {deprecated.replacement_path}, which replaces it"
            )
        section[deprecated.replacement] = section.pop(deprecated.name)
        found.append(deprecated)
    return tuple(found)


def error_with_written_key(key: str, problem: str, found: Iterable[DeprecatedKey]) -> OptionsError:
    """Return the error for an invalid value, with the key's name as it is written in the file.

    Args:
        key: the path of the key, or of the whole section.
        problem: the description; it begins with the key's name if `key` is the section.
        found: the deprecated keys that the file uses.
    """
    for deprecated in found:
        if key == deprecated.replacement_path:
            return OptionsError(deprecated.path, problem)
        prefix = f"{deprecated.replacement}: "
        if key == deprecated.section and problem.startswith(prefix):
            return OptionsError(key, f"{deprecated.name}: {problem.removeprefix(prefix)}")
    return OptionsError(key, problem)
