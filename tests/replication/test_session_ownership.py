"""Session ownership: the forms that peers and snapshots hold."""

from __future__ import annotations

import msgspec

from tansyladder.replication.session_ownership import ClaimConfirmation, ClaimRejection, ClaimResult


def test_the_rejections_are_the_words_of_the_log_and_of_the_clients_lines() -> None:
    assert tuple(ClaimRejection) == ("", "spent", "expired", "claimed", "full")
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(ClaimResult(3))) == [3, ""]
    encoded = msgspec.msgpack.encode(ClaimResult(reason=ClaimRejection.SPENT))
    assert msgspec.msgpack.decode(encoded) == [0, "spent"]


def test_a_released_token_is_confirmed_with_its_earlier_floor_and_a_later_sequence() -> None:
    confirmation = ClaimConfirmation(7, 2, 9, 90, "a/1", 10, 100, 3)
    assert confirmation.releasing(8, 4) == ClaimConfirmation(7, 2, 8, 90, "a/1", 10, 100, 4)
