"""Integration tests: real processes on loopback."""
