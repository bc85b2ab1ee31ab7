#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no cut.
cd "$(dirname "$0")" && exec node test.mjs
