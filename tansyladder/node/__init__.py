"""The node: runs the policy, admits and serves clients, follows discovery, answers operators."""
