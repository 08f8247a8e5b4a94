"""Replicated state machines on the log: session ownership and documents; no I/O, no clock."""
