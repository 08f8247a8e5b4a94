"""Deprecated names of settings keys have the effect of the current ones, and `check` reports them."""

from __future__ import annotations

from pathlib import Path

import pytest

from tansyladder.config.deprecated_keys import DEPRECATED_KEYS, DeprecatedKey
from tansyladder.config.errors import OptionsError
from tansyladder.config.operator_settings import Options, parse, parse_file
from tests.answers.program import command_line

# Deprecated name -> a value that is not the default.
VALUES = {
    "resume.parked": "7",
    "resume.remembered": "8",
    "documents.cut_off": '"serve"',
    "documents.stamps": '"/decisions"',
}
REPLACEMENTS = {
    "resume.parked": "resume.max_suspended",
    "resume.remembered": "resume.retained_end_reasons",
    "documents.cut_off": "documents.on_lease_expiry",
    "documents.stamps": "documents.decision_log",
}
each_deprecated_key = pytest.mark.parametrize("deprecated", DEPRECATED_KEYS, ids=lambda key: key.path)


def with_deprecated_name(deprecated: DeprecatedKey) -> str:
    return f"({deprecated.section} ({deprecated.name} {VALUES[deprecated.path]}))"


def with_current_name(deprecated: DeprecatedKey) -> str:
    return f"({deprecated.section} ({deprecated.replacement} {VALUES[deprecated.path]}))"


def test_all_deprecated_names_are_accepted() -> None:
    assert {deprecated.path: deprecated.replacement_path for deprecated in DEPRECATED_KEYS} == REPLACEMENTS


@each_deprecated_key
def test_a_deprecated_name_has_the_effect_of_the_current_one(deprecated: DeprecatedKey) -> None:
    with_deprecated = parse_file(with_deprecated_name(deprecated))
    with_current = parse_file(with_current_name(deprecated))
    assert with_deprecated.options == with_current.options != Options()
    assert with_deprecated.deprecated_keys == (deprecated,)
    assert with_current.deprecated_keys == ()


@each_deprecated_key
def test_both_names_together_are_an_error_that_names_both(deprecated: DeprecatedKey) -> None:
    value = VALUES[deprecated.path]
    text = f"({deprecated.section} ({deprecated.replacement} {value}) ({deprecated.name} {value}))"
    with pytest.raises(OptionsError) as raised:
        parse(text)
    assert raised.value.key == deprecated.path
    assert deprecated.replacement_path in raised.value.problem


@each_deprecated_key
def test_the_error_for_a_value_has_the_deprecated_name_that_was_written(deprecated: DeprecatedKey) -> None:
    with pytest.raises(OptionsError) as raised:
        parse(f"({deprecated.section} ({deprecated.name} (colour 1)))")
    assert raised.value.key == deprecated.path


@pytest.mark.parametrize("text", ["(resume 5)", "(resume)", "(parked 5)"])
def test_a_deprecated_key_does_not_hide_an_invalid_section(text: str) -> None:
    with pytest.raises(OptionsError):
        parse(text + '(documents (cut_off "never"))')


def test_check_reports_each_deprecated_key_and_exits_with_0(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "settings.sexp"
    file.write_text('(resume (parked 7) (remembered 8)) (documents (cut_off "serve") (stamps "/decisions"))')
    assert command_line(["check", str(file)], monkeypatch) == 0
    shown = capsys.readouterr()
    assert shown.out == f"{file}: sound\n"
    assert shown.err.splitlines() == [
        f"{file}: {path}: deprecated; use {replacement}" for path, replacement in REPLACEMENTS.items()
    ]


def test_check_rejects_both_names_with_2(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "settings.sexp"
    file.write_text("(resume (parked 7) (max_suspended 7))")
    assert command_line(["check", str(file)], monkeypatch) == 2
    shown = capsys.readouterr()
    assert shown.out == ""
    assert shown.err == (
        f"{file}: resume.parked: given together with resume.max_suspended, which replaces it\n"
    )
