"""Small stand-ins for the outside systems, for tests and benchmarks only.

Each is a process of its own, `python -m standins.<name> --port 0`, that listens on 127.0.0.1, prints
`{"ready": true, "port": n}` and ends on SIGTERM. `POST /faults` sets faults while it runs.
"""
