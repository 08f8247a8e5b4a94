"""Sockets, lines, upstream connections and the relay; no decision of the node is made here."""
