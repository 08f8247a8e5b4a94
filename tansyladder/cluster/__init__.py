"""What connects the node to the other nodes: peer connections, the Raft thread and its storage, documents."""
