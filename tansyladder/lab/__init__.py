"""The lab: real nodes among scripted stream hosts, discovery and clients on loopback, and reports."""
