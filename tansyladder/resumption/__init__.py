"""Resumable streams without sockets or clocks: words, tokens, the ledger, positions and replay."""
