"""An endpoint's network address, with the number that the policy knows the endpoint by."""

from __future__ import annotations

from dataclasses import dataclass

from tansyladder.config.platform import Address
from tansyladder.policy.events import EndpointState


@dataclass(frozen=True, slots=True)
class EndpointAddress:
    """How this node reaches an endpoint; what the policy knows of it is `policy.endpoints.Endpoint`."""

    number: int  # the policy's number for it
    id: str
    address: Address
    state: EndpointState
