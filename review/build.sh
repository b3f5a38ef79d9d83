#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python of the standard library, so they are only compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast, pathlib
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    ast.parse(path.read_text(), str(path))
CHECK
