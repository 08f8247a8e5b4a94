"""tansyladder: the decisions of a balancer for long-lived connections."""

from tansyladder.policy.balancer import Balancer
from tansyladder.policy.settings import Settings

__all__ = ["Balancer", "Settings"]
