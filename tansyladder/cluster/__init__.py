"""The node's part in its cluster: peer connections, the Raft thread and its storage, documents."""
