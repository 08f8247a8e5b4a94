"""Resumable sessions, without I/O or clocks: control messages, tokens, replay buffers and positions."""
