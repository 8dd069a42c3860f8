"""The binary `cranberryfield`: the command line for operators."""
