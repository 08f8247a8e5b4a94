"""Network input and output: sockets, protocol lines, HTTP, upstream connections, the relay and the handover.

The policy makes the decisions; this package carries them out.
"""
