#!/usr/bin/env bash
# Checks the stand-ins that the scripts start. They are Python with its standard library, so nothing has to be compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast, pathlib, sys
assert sys.version_info >= (3, 9), "the stand-ins need Python 3.9 or later"
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    ast.parse(path.read_text(), str(path))
CHECK
