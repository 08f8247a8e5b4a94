"""walnutridge: the decisions of a balancer for long-lived connections."""

from walnutridge.choice import Balancer
from walnutridge.interface import Settings

__all__ = ["Balancer", "Settings"]
