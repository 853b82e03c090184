"""Benchmarks, simulations and the demo.

Some of them start real processes, which the library itself never does.
"""
