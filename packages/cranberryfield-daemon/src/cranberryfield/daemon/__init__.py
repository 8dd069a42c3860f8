"""The binary `cranberryfieldd`: builds the roles that its file names."""
