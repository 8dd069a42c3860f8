"""Types of the operators' HTTP interface, and the settings reference."""
