#!/usr/bin/env bash
# The stand-ins are plain modules of Node.js, so nothing has to be compiled.
# This checks that each of them can be parsed.
set -eu
cd "$(dirname "$0")"
for module in stand-ins/*.mjs */play.mjs; do
  node --check "$module"
done
