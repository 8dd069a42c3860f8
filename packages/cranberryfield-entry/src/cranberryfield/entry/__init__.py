"""The entry role: between callers and upstreams."""
