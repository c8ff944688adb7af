#!/bin/sh
# Runs the case; see claim.txt. TROUBLE=0 runs it without the outage of the store and the restart.
cd "$(dirname "$0")/../.."
PYTHONPATH="target/deps:tests:review" exec python3 review/3/case.py
