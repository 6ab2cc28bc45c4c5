#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start: the store's, which
# is the project's own, and the small ones in rig2. They need the build of the deploy
# file; all is Python, so this compiles them and checks that their libraries are there.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD:$PWD/target/deps:$PWD/review/rig2"
python3 -m compileall -q standins review/rig2
python3 -c 'import rig, standins.platform_store, pimentolink.platform.edge'
