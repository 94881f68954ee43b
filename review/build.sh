#!/bin/sh
# The stand-ins are Python and need nothing but the standard library: compiling them checks that they can start.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m py_compile review/fleet.py review/*/case.py
