"""An endpoint's network address, and the number by which the policy identifies the endpoint."""

from __future__ import annotations

from dataclasses import dataclass

from tansyladder.config.platform import Address
from tansyladder.policy.events import EndpointState


@dataclass(frozen=True, slots=True)
class EndpointAddress:
    """How this node reaches an endpoint. The policy's own record of it is `policy.endpoints.Endpoint`."""

    number: int  # identifies the endpoint in the policy's events and actions
    id: str
    address: Address
    state: EndpointState
