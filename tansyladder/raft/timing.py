"""Durations of the protocol, in integer microseconds."""

HEARTBEAT_INTERVAL = 250_000  # with it, a leader sends less than 2 KB/s to four other nodes
ELECTION_TIMEOUT = 4 * HEARTBEAT_INTERVAL  # minimum without leader contact; drawn up to twice that
