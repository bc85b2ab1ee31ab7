#!/usr/bin/env bash
# Creates an empty workspace package: scripts/new-package.sh NAME [DEPENDENCY...]
set -eu
name=$1
shift
dir=packages/$name
mkdir -p "$dir/src" "$dir/__tests__"
deps=$(for dep in "$@"; do printf '"@bulrushbridge/%s": "*",' "$dep"; done)
cat > "$dir/package.json" <<EOF
{
  "name": "@bulrushbridge/$name",
  "version": "0.1.0",
  "private": true,
  "type": "module",
  "exports": "./src/index.ts",
  "dependencies": {${deps%,}}
}
EOF
npx prettier --log-level warn --write "$dir/package.json"
