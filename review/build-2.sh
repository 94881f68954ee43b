#!/bin/sh
# Builds the stand-ins of cases 6 to 10. They are Python files that need the interpreter of the deploy file's
# build alone, so this checks that each can be compiled there and writes nothing.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
exec .venv/bin/python - review/parts2/*.py review/6/*.py review/7/*.py review/8/*.py review/9/*.py review/10/*.py <<'END'
import sys
from pathlib import Path

for name in sys.argv[1:]:
    path = Path(name)
    if path.is_file():  # a pattern without a match stays as it is
        compile(path.read_text(), name, "exec")
END
