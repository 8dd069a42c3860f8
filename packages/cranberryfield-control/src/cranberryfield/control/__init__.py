"""The control role: a replicated log and the state machines it drives."""
