# Sourced by the other scripts: changes to the repository root and builds .venv from the pinned
# requirements.
# Usage: source scripts/_environment.sh requirements.txt
set -euo pipefail

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
cd "$root"
requirements=$1
python=.venv/bin/python
if [ ! -x "$python" ]; then
  python3.11 -m venv .venv 2>/dev/null || python3 -m venv .venv
fi
# Holds a copy of the installed requirements, so that pip runs only after they have changed.
stamp=.venv/$(basename "$requirements").installed
if ! cat requirements.txt "$requirements" | cmp -s - "$stamp"; then
  "$python" -m pip install --quiet --disable-pip-version-check -r "$requirements" 2> >(grep -v "is ignored: it is neither" >&2)
  cat requirements.txt "$requirements" > "$stamp"
fi
