"""The documents that there are, and how a node validates the content of each."""

from __future__ import annotations

from collections.abc import Mapping

from tansyladder.cluster.content_worker import Validator

MAX_NOTE_BYTES = 64 << 10


def validate_note(content: bytes) -> str:
    """Return the first fault of a note to the staff of all nodes, which changes nothing: (note "text")."""
    import sexpdata

    if len(content) > MAX_NOTE_BYTES:
        return f"note: {len(content)} bytes, {MAX_NOTE_BYTES} at most"
    try:
        note = sexpdata.loads(content.decode())
    except UnicodeDecodeError:
        return "note: not UTF-8"
    except Exception as err:  # noqa: BLE001 - the library ends on broken text with errors of many kinds
        return f"note: not an S-expression: {str(err)[:80]}"
    is_note = isinstance(note, list) and len(note) == 2 and note[0] == sexpdata.Symbol("note")
    return "" if is_note and isinstance(note[1], str) else 'note: (note "text") expected'


VALIDATORS: Mapping[str, Validator] = {"note": validate_note}
