"""The objects that the parts of one node share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from tansyladder.config.operator_settings import Options
from tansyladder.net.clock import Clock
from tansyladder.net.listener_handover import ListenerHandover
from tansyladder.node.active_configuration import ActiveConfiguration
from tansyladder.node.lifecycle import Lifecycle
from tansyladder.node.metrics import Metrics
from tansyladder.node.policy_runner import PolicyRunner

if TYPE_CHECKING:  # imported for annotations only, which makes a start faster
    from tansyladder.node.extension_points import SessionService


@dataclass(frozen=True, slots=True)
class NodeContext:
    """The objects that most parts of one node use. Immutable, and every field is thread-safe."""

    configuration: ActiveConfiguration
    options: Options  # the operator's settings at the start
    clock: Clock
    metrics: Metrics
    lifecycle: Lifecycle
    policy: PolicyRunner


@dataclass(frozen=True, slots=True)
class ConnectionServices:
    """The objects that the threads of served connections use. Immutable, and every field is thread-safe."""

    context: NodeContext
    handover: ListenerHandover  # to the next process of this node
    session_service: SessionService | None  # None if sessions can't be resumed
