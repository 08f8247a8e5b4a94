"""Resumable sessions without sockets or clocks: control messages, tokens, replay buffers and positions."""
