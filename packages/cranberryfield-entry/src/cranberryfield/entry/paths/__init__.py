"""Paths to upstreams: direct connections, and tunnels through other relays.

Control hosts import one module of this package, and would start later if it imported
the others.
"""
