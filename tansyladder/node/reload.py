"""Reloads the configuration while the node runs: it is read completely, then applied or rejected."""

from __future__ import annotations

import threading
from collections.abc import Mapping
from pathlib import Path
from typing import TYPE_CHECKING

from tansyladder.config.errors import ConfigError, OptionsError
from tansyladder.config.operator_settings import Options, load, restart_required_changes
from tansyladder.config.reload import ReloadedConfig, reload
from tansyladder.log import LogEvent, log
from tansyladder.node.context import NodeContext
from tansyladder.node.discovery_client import DiscoveryClient
from tansyladder.node.lifecycle import NodeState

if TYPE_CHECKING:  # imported for annotations only, which makes a start faster
    from tansyladder.node.extension_points import SessionService

MAX_LOGGED_KEYS_LENGTH = 300  # in characters, of the keys that changed


class Reloader:
    """Reloads the configuration on request, on its own thread, which owns all state except the request."""

    def __init__(
        self,
        environ: Mapping[str, str],
        context: NodeContext,
        discovery: DiscoveryClient,
        session_service: SessionService | None,
        options_path: str | Path | None = None,
    ) -> None:
        """Prepare to reload the files that were read at the start.

        Args:
            environ: The environment variables, which name the platform's file.
            context: The context of the node.
            discovery: The client to switch if discovery's address changes.
            session_service: Receives new token keys; None if sessions can't be resumed.
            options_path: The operator's settings file; None if none was named at the start.
        """
        self._environ = environ
        self._lifecycle = context.lifecycle
        self._metrics = context.metrics
        self._policy = context.policy
        self._discovery = discovery
        self._session_service = session_service
        self._options_path = options_path
        self._running_config = context.configuration.config
        self._running_options = context.options
        self._requested = threading.Event()

    def start(self) -> None:
        """Start the thread that waits for requests."""
        threading.Thread(target=self._run, name="reload", daemon=True).start()

    def request_reload(self) -> None:
        """Request a reload; a request during a reload causes another one. Thread-safe."""
        self._requested.set()

    def _run(self) -> None:
        while True:
            self._requested.wait()
            self._requested.clear()  # before the files are read: a later signal may announce newer files
            if self._lifecycle.state is NodeState.DRAINING:
                return  # the configuration no longer changes
            self.reload_now()

    def reload_now(self) -> None:
        """Read the files now, and apply them; if one is invalid, nothing changes."""
        try:
            reloaded = reload(self._environ, self._running_config)
            options = load(self._options_path)
        except (ConfigError, OptionsError) as err:
            log(LogEvent.RELOAD_FAILED, error=err)
            self._metrics.record_reload(applied=False)
        except Exception as err:  # noqa: BLE001 - an unexpected error must not end the thread
            log(LogEvent.INTERNAL_ERROR, error=repr(err))
            self._metrics.record_reload(applied=False)
        else:
            self._apply(reloaded, options)

    def _apply(self, reloaded: ReloadedConfig, options: Options) -> None:
        """Apply a valid configuration and the settings' token keys; log which changes need a restart."""
        config = reloaded.config
        ignored_keys = reloaded.restart_only_keys + restart_required_changes(self._running_options, options)
        if ignored_keys:
            log(LogEvent.RELOAD_IGNORED, changed_keys=",".join(ignored_keys))
        self._running_config = config
        self._policy.reconfigure(config)
        if self._session_service is not None:
            self._session_service.rotate_keys(options.resume)
        is_switched = self._discovery.switch_address(config.discovery)
        self._metrics.record_reload(applied=True)
        keys = ",".join(reloaded.changed_keys)[:MAX_LOGGED_KEYS_LENGTH]
        address = "{}:{}".format(*config.discovery)
        log(LogEvent.RELOADED, discovery=address, is_discovery_switched=is_switched, changed_keys=keys)
