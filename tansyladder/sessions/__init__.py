"""Resumable sessions: they migrate between stream hosts, and clients resume them at this or another node."""
