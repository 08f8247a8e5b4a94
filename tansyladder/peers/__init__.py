"""What nodes agree on, without sockets or clocks: events and time in, messages, writes, answers out."""
