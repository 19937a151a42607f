#!/bin/sh
# Builds the stand-ins of the scripts in review/6 and later: they are Python
# and need only what the build of the deploy file installs under target/.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps:.:tests:review python3 - <<'CHECK'
import compileall

folders = ("review/standins2", "tests/soak")
if not all(compileall.compile_dir(folder, quiet=1) for folder in folders):
    raise SystemExit("a stand-in cannot be compiled")
import soak.world
import standins2.fleet
CHECK
