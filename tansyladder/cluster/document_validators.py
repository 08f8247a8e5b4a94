"""The documents that this version of the node supports, and their validators."""

from __future__ import annotations

from collections.abc import Mapping

from tansyladder.cluster.content_worker import Validator

MAX_NOTE_BYTES = 64 << 10
NOTE_LENGTH = 2  # elements of the S-expression: the symbol `note` and the text
MAX_REPORTED_ERROR = 80  # characters of the parser's error message


def validate_note(content: bytes) -> str:
    """Return the first fault of a note, or "" if it is valid.

    A note has the form (note "text") and configures nothing.
    """
    import sexpdata  # noqa: PLC0415 - a node without documents starts faster without this import

    if len(content) > MAX_NOTE_BYTES:
        return f"note: {len(content)} bytes, {MAX_NOTE_BYTES} at most"
    try:
        note = sexpdata.loads(content.decode())
    except UnicodeDecodeError:
        return "note: not UTF-8"
    except Exception as err:  # noqa: BLE001 - the parser raises many types of errors for invalid text
        return f"note: not an S-expression: {str(err)[:MAX_REPORTED_ERROR]}"
    is_note = isinstance(note, list) and len(note) == NOTE_LENGTH and note[0] == sexpdata.Symbol("note")
    return "" if is_note and isinstance(note[1], str) else 'note: (note "text") expected'


VALIDATORS: Mapping[str, Validator] = {"note": validate_note}
