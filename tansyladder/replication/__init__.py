"""State that nodes agree on through the replicated log: session ownership and documents; no I/O, no clock."""
