# Sourced by the other scripts: enters the repository and builds .venv from the pinned requirements.
# Usage: source scripts/_environment.sh requirements.txt
set -euo pipefail

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
cd "$root"
requirements=$1
python=.venv/bin/python
if [ ! -x "$python" ]; then
  python3.11 -m venv .venv 2>/dev/null || python3 -m venv .venv
fi
# The stamp holds the installed requirements, so an unchanged environment is not rebuilt.
stamp=.venv/$(basename "$requirements").installed
if ! cat requirements.txt "$requirements" | cmp -s - "$stamp"; then
  "$python" -m pip install --quiet --disable-pip-version-check -r "$requirements" 2> >(grep -v "is ignored: it is neither" >&2)
  cat requirements.txt "$requirements" > "$stamp"
fi
