"""The node's process: reads its configuration, builds the node, and serves until a signal ends it.

The signals are blocked in the main thread before this module is imported (`serve.py`).
"""

from __future__ import annotations

import os
import signal
import sys
import threading
from collections.abc import Collection
from pathlib import Path

from tansyladder.assembly import Node, build_node
from tansyladder.config import operator_settings, platform
from tansyladder.config.errors import ConfigError, OptionsError
from tansyladder.config.operator_settings import Options
from tansyladder.config.platform import Config, absent_features
from tansyladder.log import LineFormat, LogEvent, log, set_line_format
from tansyladder.start_errors import EXIT_BAD_CONFIGURATION, BadConfigError, BadSettingsError

# Size of each thread's stack, of which little is touched: with 37 and 330 descriptors the node used 9 and
# 13 MB, so an established connection with its thread costs about 27 KB.
THREAD_STACK_BYTES = 256 * 1024
SWITCH_INTERVAL_SECONDS = 0.001  # how long a busy thread keeps the GIL while another one waits


def run(options_path: str | Path | None, signals: Collection[signal.Signals]) -> int:
    """Run a node until a signal other than SIGHUP ends it.

    Args:
        options_path: The operator's settings file; None if none was named.
        signals: The blocked signals to wait for; SIGHUP reloads the files, each other one ends the node.

    Returns:
        The exit code.
    """
    try:
        node = _build_node(options_path)
    except BadConfigError as err:
        print(f"event=bad_config error={err}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    except BadSettingsError as err:
        print(f"event=bad_settings error={err}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    _serve_until_signal(node, options_path, signals)
    return 0


def _build_node(options_path: str | Path | None) -> Node:
    """Read the configuration and the settings, and build the node.

    Raises:
        BadConfigError: The node can't run with the platform's configuration.
        BadSettingsError: The node can't run with the operator's settings.
    """
    config = _load_config()
    options = _load_options(options_path)
    _prepare_process(options)
    return build_node(config, options, os.environ.get("TMPDIR"))


def _load_config() -> Config:
    """Read the platform's configuration."""
    try:
        return platform.load(os.environ)
    except ConfigError as err:
        raise BadConfigError(str(err)) from err


def _load_options(path: str | Path | None) -> Options:
    """Read the operator's settings."""
    try:
        return operator_settings.load(path)
    except OptionsError as err:
        raise BadSettingsError(str(err)) from err


def _prepare_process(options: Options) -> None:
    """Apply the settings that concern all threads, before the first one starts."""
    set_line_format(LineFormat.JSON if options.log.json else LineFormat.KEY_VALUE)
    threading.stack_size(THREAD_STACK_BYTES)
    sys.setswitchinterval(SWITCH_INTERVAL_SECONDS)
    threading.excepthook = lambda args: log(LogEvent.INTERNAL_ERROR, error=repr(args.exc_value))


def _serve_until_signal(
    node: Node, options_path: str | Path | None, signals: Collection[signal.Signals]
) -> None:
    """Start the node, reload at each SIGHUP, and shut down gracefully at the first other signal."""
    reloader = node.start(os.environ, options_path)
    _log_started(node.context.configuration.config)
    while (received_signal := signal.sigwait(signals)) == signal.SIGHUP:
        reloader.request_reload()  # in another thread, so that a SIGTERM does not wait for a slow disk
    log(LogEvent.STOPPING, signal=signal.Signals(received_signal).name)
    node.stop()


def _log_started(config: Config) -> None:
    """Log that the node has started, and which features its configuration leaves out."""
    known_endpoint_count = len(config.known_endpoints.endpoints)
    log(
        LogEvent.STARTED,
        node=config.name,
        known_endpoints=known_endpoint_count,
        socket_limit=config.limits.sockets,
    )
    log(LogEvent.SETTINGS_ABSENT, features=",".join(absent_features(config)))
