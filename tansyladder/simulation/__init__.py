"""Simulated fleets on a virtual clock: the cores of `peers` without threads, sockets or disks."""
