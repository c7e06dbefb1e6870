#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, after `build` of the deploy file. They are Python files that need the
# standard library alone, so this only compiles them, into a temporary folder, and finds what would not start.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
PYTHONPYCACHEPREFIX=$folder .venv/bin/python -m compileall -q review/support2 review/6 review/7 review/8 review/9 review/10
.venv/bin/python -c "import aspensaddle.store.__main__"
