#!/bin/sh
# The stand-ins are Python programs that need the standard library only, so
# they are only compiled to find errors early.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q standins [1-5]
