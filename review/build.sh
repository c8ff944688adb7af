#!/bin/sh
# Compiles the stand-ins of the cases and those of the project that they use. The nodes
# and the libraries come from the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:tests:review" python3 -c "
import platform_adapter.store_standin, standins.deployment"
