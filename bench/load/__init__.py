"""Open-loop load generator for a group on loopback, driven by YAML scenarios."""
