#!/bin/sh
# The stand-ins of this review are Python modules that need the standard library only, and the scripts use
# none of the project's stand-ins; compiling them finds errors early.
cd "$(dirname "$0")" || exit 2
folder=$(mktemp -d) || exit 2
PYTHONPYCACHEPREFIX=$folder python3 -m compileall -q standins-2 6/run.py 8/run.py 9/run.py 10/run.py
code=$?
rm -rf "$folder"
exit $code
