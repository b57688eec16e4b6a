#!/usr/bin/env bash
# The stand-ins and cases are plain JavaScript for Node.js without dependencies, so this only checks their syntax.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins/*.mjs [1-9]/*.mjs; do
    node --check "$file"
done
