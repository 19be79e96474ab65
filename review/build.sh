#!/usr/bin/env bash
# Builds what the scripts under review/ start, besides the build of deploy/system.toml.
# The stand-ins (clients, back ends, operator) are review/lib/fleet.py, which needs only
# Python 3 and its standard library: there is nothing to build. This checks that it loads.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.path.insert(0, "review/lib"); sys.dont_write_bytecode = True; import fleet'
test -x target/release/coursestandd || cargo build --release --bin coursestandd
