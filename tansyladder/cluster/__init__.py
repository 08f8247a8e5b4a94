"""What speaks to the other nodes: connections, the agreement's thread and its records."""
