"""Runs a node: start, signals, exit code. It imports nothing that only tools need.

Signals are blocked before anything else is imported: the imports take a while, and the default action of a
SIGHUP is to end the program. Until then the shell's trap of `run` ignores it.
"""

from __future__ import annotations

import os
import signal
import sys
import threading
from pathlib import Path
from typing import TYPE_CHECKING

from tansyladder.start_errors import BadConfigError, BadSettingsError

if TYPE_CHECKING:
    from tansyladder.assembly import Node
    from tansyladder.config.operator_settings import Options
    from tansyladder.config.platform import Config

# Bytes of each thread's stack. Little of it is touched: on days of 37 and of 330 descriptors the node took
# 9 and 13 MB, so an established connection with its thread costs some 27 KB.
THREAD_STACK_BYTES = 256 * 1024
SWITCH_INTERVAL_SECONDS = 0.001  # that a busy thread may hold the interpreter while another one waits
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
EXIT_BAD_CONFIGURATION = 2


def serve(options_path: str | Path | None = None) -> int:
    """Run until a signal ends it, then drain.

    Args:
        options_path: Of the operator's settings, where there are.

    Returns:
        The exit code.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)  # every thread inherits it; this one waits for them
    signal.signal(signal.SIGHUP, lambda *_: None)  # an ignored one might not even wait
    try:
        node = _build_node(options_path)
    except BadConfigError as err:
        print(f"event=bad_config error={err}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    except BadSettingsError as err:
        print(f"event=bad_settings error={err}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    _run(node, options_path)
    return 0


def _build_node(options_path: str | Path | None) -> Node:
    """Read what the node is to run with, and build it.

    Raises:
        BadConfigError: The fault is in the platform's configuration.
        BadSettingsError: The fault is in the operator's settings.
    """
    config = _load_config()
    options = _load_options(options_path)
    _prepare_process(options)
    from tansyladder.assembly import build_node

    return build_node(config, options, os.environ.get("TMPDIR"))


def _run(node: Node, options_path: str | Path | None) -> None:
    """Serve until a signal ends it."""
    from tansyladder.log import LogEvent, log

    reloader = node.start(os.environ, options_path)
    _log_started(node.context.configuration.config)
    while (received := signal.sigwait(SIGNALS)) == signal.SIGHUP:
        reloader.request_reload()  # read elsewhere: a SIGTERM meanwhile must not wait for a slow disk
    log(LogEvent.STOPPING, signal=signal.Signals(received).name)
    node.stop()


def _load_config() -> Config:
    """Read the platform's configuration."""
    from tansyladder.config import platform
    from tansyladder.config.errors import ConfigError

    try:
        return platform.load(os.environ)
    except ConfigError as err:
        raise BadConfigError(str(err)) from err


def _load_options(path: str | Path | None) -> Options:
    """Read the operator's settings."""
    from tansyladder.config import operator_settings
    from tansyladder.config.errors import OptionsError

    try:
        return operator_settings.load(path)
    except OptionsError as err:
        raise BadSettingsError(str(err)) from err


def _prepare_process(options: Options) -> None:
    """Set what applies to all threads, before the first one starts."""
    from tansyladder.log import LineFormat, LogEvent, log, set_line_format

    set_line_format(LineFormat.JSON if options.log.json else LineFormat.KEY_VALUE)
    threading.stack_size(THREAD_STACK_BYTES)
    sys.setswitchinterval(SWITCH_INTERVAL_SECONDS)
    threading.excepthook = lambda args: log(LogEvent.INTERNAL_ERROR, error=repr(args.exc_value))


def _log_started(config: Config) -> None:
    """Log that the node listens, and what its configuration does not give."""
    from tansyladder.config.platform import absent_features
    from tansyladder.log import LogEvent, log

    known_count = len(config.known_endpoints.endpoints)
    log(LogEvent.STARTED, node=config.name, known_endpoints=known_count, socket_limit=config.limits.sockets)
    log(LogEvent.SETTINGS_ABSENT, features=",".join(absent_features(config)))
