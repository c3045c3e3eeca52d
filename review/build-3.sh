#!/usr/bin/env bash
# The stand-ins of the cases 11 to 15 are Python: checks that they compile. The programs come from the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'CHECK'
import glob
for name in ["harness3.py"] + sorted(glob.glob("1[1-5]/*.py")):
    compile(open(name, encoding="utf-8").read(), name, "exec")
CHECK
