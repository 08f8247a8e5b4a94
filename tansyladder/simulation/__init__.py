"""Simulated clusters on a virtual clock: Raft and documents without threads, sockets or disks."""
