"""Adapter that runs the policy on the simulator's wire format."""
