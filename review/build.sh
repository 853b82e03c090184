#!/bin/sh
# The stand-ins are Python modules that need the standard library only; compiling them finds errors early.
cd "$(dirname "$0")" || exit 2
python3 -m compileall -q standins [0-9]/run.py
