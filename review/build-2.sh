#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are scripts that need no compiler: they use
# Node.js alone. This checks that each of them can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs [0-9]*/scenario.mjs; do
  node --check "$file"
done
