"""Stand-ins: small fakes of the outside systems, for tests and benchmarks only.

Each runs as a separate process, `python -m standins.<name> --port 0`. It listens on 127.0.0.1,
prints `{"ready": true, "port": n}` once it accepts connections, and exits on SIGTERM.
`POST /faults` sets faults at run time.
"""
