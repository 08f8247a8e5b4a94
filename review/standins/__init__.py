"""Stand-ins for the platform, stream hosts, discovery and clients, for the cases of the review."""
