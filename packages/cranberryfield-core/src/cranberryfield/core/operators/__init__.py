"""What operators and nodes send each other over HTTP."""
