"""The keys of the operator's settings file (an S-expression), their defaults, and errors that name a key.

Tested elsewhere: units, invalid values and brackets, an unknown key of `resume` and an unknown section
(`tests/config/test_operator_settings.py`); which keys a SIGHUP puts in force (there, and in
`tests/node/test_reload.py`).
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import msgspec
import pytest
import sexpdata

from tansyladder.config import operator_settings
from tansyladder.config.errors import OptionsError
from tests.answers.program import ROOT

EXAMPLE = ROOT / "deploy" / "settings.example.sexp"
# Every key and its default.
DEFAULTS: dict[str, dict[str, object]] = {
    "resume": {
        "enabled": False,
        "expires": "PT30S",
        "buffer": 65536,
        "memory_share": 0.125,
        "max_suspended": 256,
        "retained_end_reasons": 4096,
        "keys": [],
    },
    "store": {"enabled": False, "directory": ""},
    "peers": {"enabled": False, "fleet": "", "key": "", "members": {}, "voters": "", "listen": ""},
    "documents": {"enabled": False, "lease": "PT30S", "on_lease_expiry": "stop", "decision_log": ""},
    "log": {"json": False},
}
ONLY_IN_A_COMMENT = {"resume.keys"}  # keys from a published example would not be secret
# By the path of each key that is valid without other keys, a value other than the default.
ACCEPTED = {
    "resume.enabled": "true",
    "resume.expires": '"1 min"',
    "resume.buffer": '"8 KiB"',
    "resume.memory_share": "0.25",
    "resume.max_suspended": "7",
    "resume.retained_end_reasons": "7",
    "resume.keys": f'(2 "{"ab" * 32}")',
    "store.directory": '"/var"',
    "peers.fleet": '"f"',
    "peers.key": '"k"',
    "peers.members": '(n0 "10.0.0.4:8100")',
    "peers.voters": '"n0"',
    "peers.listen": '"10.0.0.4:8100"',
    "documents.lease": '"1 min"',
    "documents.on_lease_expiry": '"serve"',
    "documents.decision_log": '"/stamps"',
    "log.json": "true",
}
ALL_FEATURES = f"""
(resume (enabled true) (keys (2 "{"ab" * 32}")))
(peers (enabled true) (fleet "f") (key "{"cd" * 32}") (voters "n0") (members (n0 "10.0.0.4:8100")))
(documents (enabled true))
(store (enabled true) (directory "/var"))
"""


def as_written(text: str) -> dict[str, Any]:
    """Parse the text of a settings file, and return the settings by the keys of the file."""
    read: dict[str, Any] = msgspec.json.decode(msgspec.json.encode(operator_settings.parse(text)))
    return read


def paths(sections: dict[str, dict[str, object]]) -> set[str]:
    return {f"{section}.{key}" for section, keys in sections.items() for key in keys}


def example_paths() -> Iterator[str]:
    for section, *entries in sexpdata.parse(EXAMPLE.read_text()):
        for key, *_ in entries:
            yield f"{section.value()}.{key.value()}"


def test_the_keys_and_their_defaults() -> None:
    assert as_written("; nothing") == DEFAULTS


def test_the_example_is_accepted_and_shows_every_key() -> None:
    shown = list(example_paths())
    assert len(shown) == len(set(shown))
    assert set(shown) | ONLY_IN_A_COMMENT == paths(DEFAULTS)
    assert as_written(EXAMPLE.read_text()).keys() == DEFAULTS.keys()
    assert "(keys (2 " in EXAMPLE.read_text()


@pytest.mark.parametrize("path", sorted(ACCEPTED))
def test_each_key_is_put_in_force_by_its_path(path: str) -> None:
    section, key = path.split(".")
    read = as_written(f"({section} ({key} {ACCEPTED[path]}))")
    assert read[section][key] != DEFAULTS[section][key]


def test_the_keys_that_need_other_keys_are_accepted_together_with_them() -> None:
    read = as_written(ALL_FEATURES)
    switched_on = {f"{section}.enabled" for section, keys in read.items() if keys.get("enabled")}
    assert paths(DEFAULTS) - ACCEPTED.keys() == switched_on - {"resume.enabled"}


@pytest.mark.parametrize("section", sorted(DEFAULTS))
def test_an_unknown_key_is_rejected_with_its_section_and_name(section: str) -> None:
    with pytest.raises(OptionsError) as rejected:
        operator_settings.parse(f"({section} (colour 1))")
    assert str(rejected.value) == f"{section}: Object contains unknown field `colour`"


@pytest.mark.parametrize("path", sorted(ACCEPTED.keys() - {"peers.members"}))
def test_a_value_of_the_wrong_type_is_rejected_with_its_path(path: str) -> None:
    section, key = path.split(".")
    with pytest.raises(OptionsError) as rejected:
        operator_settings.parse(f"({section} ({key} (colour 1)))")
    assert str(rejected.value).startswith(f"{path}")
