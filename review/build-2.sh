#!/usr/bin/env bash
# Builds what the scripts of cases 8 and 9 start. Their stand-ins are Python 3 programs without
# further packages, so that only their syntax is checked here. The program itself is built by the
# build command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - review/standin-2/deployment.py review/8/case.py review/9/case.py <<'CHECK'
import ast, sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
CHECK
test -x target/release/monsoonrouter-platform || cargo build --release --locked -p monsoon-platform
