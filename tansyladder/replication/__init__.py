"""State machines that the Raft log replicates: session ownership and documents; no I/O, no clock."""
