"""The addresses at which discovery may be reached: the one that is polled, and an alternative to it.

At a start the environment and the configuration file may name different addresses. The platform replaces only
the file when discovery moves, so the file's address is the newer one if a process was started with an
environment from before the move. Otherwise the environment overrides the file.
"""

from __future__ import annotations

from tansyladder.config.platform import Address, Config


class DiscoveryAddresses:
    """The polled address and its alternative, which is kept until one of the two has answered.

    Not thread-safe; guarded by the lock of its owner.
    """

    def __init__(self, config: Config, predecessor_address: Address | None) -> None:
        """`predecessor_address`: what the process that this one replaces polls; None if there is none.

        An address that the predecessor polls already was in force before this process started.
        """
        self.polled = config.discovery
        self._alternative = config.alternative_discovery
        if self._alternative is not None and self._alternative == predecessor_address:
            self.use_alternative()

    @property
    def has_alternative(self) -> bool:
        """Whether another address may be the right one."""
        return self._alternative is not None

    def use_alternative(self) -> None:
        """Exchange the polled address and its alternative, if there is one."""
        if self._alternative is not None:
            previous = self.polled
            self.polled = self._alternative
            self._alternative = previous

    def confirm(self) -> None:
        """Keep the polled address, which has answered, without an alternative."""
        self._alternative = None

    def replace(self, address: Address) -> bool:
        """Poll an address of a new configuration, without an alternative; return whether it changes."""
        is_changed = address != self.polled
        self.polled = address
        self._alternative = None
        return is_changed
