"""The logic of resumable sessions without I/O or clocks: control messages, tokens, buffers and positions."""
