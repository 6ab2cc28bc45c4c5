#!/usr/bin/env bash
# Builds what the cases start. All of it is Python and needs only the libraries that the
# build of the deploy file puts into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps
PYTHONPATH=target/deps python3 -c "import standins.platform_store"
python3 -m py_compile review/common/*.py review/[1-5]/*.py
