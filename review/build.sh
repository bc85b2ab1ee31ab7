#!/usr/bin/env bash
# Checks the stand-ins and the cases. They are plain modules of Node's own library, so nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.mjs */test.mjs; do node --check "$file"; done
