"""Fault matrix: tests that inject each fault at each step of a request.

Results are checked from outside: by what callers and stand-in upstreams recorded.
"""
