#!/bin/sh
# Runs the case; see claim.txt. TROUBLE=0 runs it without the step of the clock.
cd "$(dirname "$0")/../.."
PYTHONPATH="target/deps:tests:review" exec python3 review/5/case.py
