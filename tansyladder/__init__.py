"""tansyladder: the decisions of a balancer for long-lived connections."""

from tansyladder.choice import Balancer
from tansyladder.interface import Settings

__all__ = ["Balancer", "Settings"]
