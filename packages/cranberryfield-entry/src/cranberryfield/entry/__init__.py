"""Entry role: relays requests from callers to upstreams."""
