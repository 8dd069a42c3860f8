"""Measurements, each a module `measure_TOPIC` with a function `measure`."""
