"""Faults in the settings of peers."""

from __future__ import annotations

import pytest

from tansyladder.config import operator_settings
from tansyladder.config.errors import OptionsError

KEY = "ab" * 32
RESUME = f'(resume (enabled true) (keys (1 "{KEY}")))'
SOUND = f'(peers (enabled true) (fleet "f") (key "{KEY}") (voters "a") (members (a "1.2.3.4:5")))'


@pytest.mark.parametrize(
    ("text", "path"),
    [
        (SOUND, "peers.enabled"),
        (RESUME + SOUND.replace('(fleet "f")', ""), "peers: fleet"),
        (RESUME + SOUND.replace(KEY, "abc"), "peers: key"),
        (RESUME + SOUND.replace('(voters "a")', '(voters "a b")'), "peers: voters"),
        (RESUME + SOUND.replace('(voters "a")', '(voters "c")'), "peers: voters"),
    ],
)
def test_a_fault_in_the_settings_of_peers_is_named(text: str, path: str) -> None:
    assert operator_settings.parse(RESUME + SOUND).peers.members == {"a": "1.2.3.4:5"}
    with pytest.raises(OptionsError, match=path):
        operator_settings.parse(text)
