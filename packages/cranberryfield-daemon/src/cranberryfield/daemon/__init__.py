"""The daemon `cranberryfieldd`, which runs the roles named in its settings file."""
