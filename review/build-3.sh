#!/usr/bin/env bash
# Checks the stand-ins and the cases 11 to 15. They are plain modules that Node runs as they are, so there is
# nothing to compile.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-3/*.mjs 1[1-5]/*.mjs; do node --check "$file"; done
test -f ../target/bulrush-host.mjs || { echo 'run the build of deploy/system.toml first' >&2; exit 1; }
