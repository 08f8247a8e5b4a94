"""Fault injection into clusters of real nodes, and checks of the recorded histories.

A run consists of nodes, which are a process each, stream hosts in one further process, and clients. They are
connected through links that the run can cut, delay and reset. Each party records its events, and the checkers
look for violated invariants in the merged history. In this package "host" is short for "stream host".
"""
