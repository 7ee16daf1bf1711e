#!/bin/sh
# Builds what the scripts of review/11 to review/15 start, after the build of the deploy file: their
# stand-ins are Python files that need the standard library only, so that they are just compiled.
set -eu
cd "$(dirname "$0")"
python3 -B - harness_3.py 1[1-5]/case.py <<'PYTHON'
import sys
from pathlib import Path

for name in sys.argv[1:]:
    compile(Path(name).read_text(), name, "exec")
PYTHON
[ -d ../target/deps/lagoonfold_gateway ] || {
  echo "target/deps is missing: run the build of the deploy file first" >&2
  exit 1
}
