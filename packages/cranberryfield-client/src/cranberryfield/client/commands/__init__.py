"""Commands of the client, one module per command group."""
