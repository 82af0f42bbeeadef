#!/usr/bin/env bash
# The stand-ins need the standard library of Python alone; check that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib
for path in pathlib.Path(".").glob("*/*.py"):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PY
