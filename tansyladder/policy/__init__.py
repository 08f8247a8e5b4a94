"""The decision module: events in, actions out. It has no clock and does no I/O."""
