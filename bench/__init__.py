"""Benchmarks; each module `measure_TOPIC` defines a function `measure`."""
