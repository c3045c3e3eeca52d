#!/usr/bin/env bash
# The stand-ins are Python scripts that need no build. This checks that they can be run here.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import ast
import pathlib
import sys

assert sys.version_info >= (3, 11), "Python 3.11 or later is required"
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
PYTHON
