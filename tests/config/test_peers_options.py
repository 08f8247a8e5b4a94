"""Errors in the settings of peers."""

from __future__ import annotations

import pytest

from tansyladder.config import operator_settings
from tansyladder.config.errors import OptionsError

KEY = "ab" * 32
VALID_RESUME = f'(resume (enabled true) (keys (1 "{KEY}")))'
VALID_PEERS = f'(peers (enabled true) (fleet "f") (key "{KEY}") (voters "a") (members (a "1.2.3.4:5")))'


@pytest.mark.parametrize(
    ("text", "path"),
    [
        (VALID_PEERS, "peers.enabled"),
        (VALID_RESUME + VALID_PEERS.replace('(fleet "f")', ""), "peers: fleet"),
        (VALID_RESUME + VALID_PEERS.replace(KEY, "abc"), "peers: key"),
        (VALID_RESUME + VALID_PEERS.replace('(voters "a")', '(voters "a b")'), "peers: voters"),
        (VALID_RESUME + VALID_PEERS.replace('(voters "a")', '(voters "c")'), "peers: voters"),
    ],
)
def test_a_fault_in_the_settings_of_peers_is_named(text: str, path: str) -> None:
    assert operator_settings.parse(VALID_RESUME + VALID_PEERS).peers.members == {"a": "1.2.3.4:5"}
    with pytest.raises(OptionsError, match=path):
        operator_settings.parse(text)
