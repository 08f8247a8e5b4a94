"""Resumable sessions, which migrate between stream hosts and which clients resume at this or another node."""
