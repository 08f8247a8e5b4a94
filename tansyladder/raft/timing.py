"""Time spans of the protocol, in integer microseconds."""

HEARTBEAT_INTERVAL = 250_000  # between a leader's messages: it sends under 2 KB/s to four other nodes
ELECTION_TIMEOUT = 4 * HEARTBEAT_INTERVAL  # without contact to a leader; drawn up to twice that
