"""Time spans of the protocol, in integer microseconds."""

HEARTBEAT_INTERVAL = 250_000  # between two messages of a leader; at five nodes under 2 KB/s leave the leader
ELECTION_TIMEOUT = 4 * HEARTBEAT_INTERVAL  # without a leader until an election; drawn up to twice that
