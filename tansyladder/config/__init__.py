"""Configuration: the platform's file, the operator's settings, and the policy's settings built from them."""
