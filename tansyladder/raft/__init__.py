"""A replicated log by Raft: elections, replication, snapshots; no I/O and no clock."""
