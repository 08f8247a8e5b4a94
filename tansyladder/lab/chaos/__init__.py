"""Several real nodes, hosts in a process apart, links that fail, and checkers that read one history."""
