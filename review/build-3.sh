#!/bin/sh
# Builds what the scripts of cases 11 to 15 start besides the program of the deploy file. The stand-ins are plain modules
# of Node.js without dependencies, so they are only checked.
cd "$(dirname "$0")" || exit 2
for file in stand-ins-3/*.mjs 1[1-5]/*.mjs; do
    [ -e "$file" ] || continue
    node --check "$file" || exit 1
done
