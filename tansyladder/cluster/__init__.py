"""Cluster membership of a node: peer connections, the Raft thread and its storage, replicated documents."""
