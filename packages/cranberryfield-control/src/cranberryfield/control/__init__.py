"""The control role: replicated log, settings tree, claims and orders."""
