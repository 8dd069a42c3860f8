"""Open-loop load on a whole group on loopback, from scenarios in YAML."""
