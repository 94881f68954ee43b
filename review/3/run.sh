#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run; TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || { echo "build first: deploy/balancer.toml, then review/build.sh"; exit 2; }
exec ../../.venv/bin/python case.py
