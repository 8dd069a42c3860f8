"""The `cranberryfield` command-line client for operators."""
