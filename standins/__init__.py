"""Stand-ins for external components in tests; never imported by packages/."""
