"""Code shared by all roles: ids, errors, messages, settings, mesh and metrics."""
