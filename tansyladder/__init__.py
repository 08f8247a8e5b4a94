"""A balancer for long-lived connections. This module exports its policy, which makes the decisions."""

from tansyladder.policy.balancer import Balancer
from tansyladder.policy.settings import Settings

__all__ = ["Balancer", "Settings"]
