"""Parts shared by every role: ids, errors, messages, settings, mesh and metrics."""
