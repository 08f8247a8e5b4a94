"""The lab: scripted stream hosts, discovery and clients on loopback, a real node among them, and reports."""
