#!/usr/bin/env bash
# 0: the rule held, 1: it was broken, 2: the case could not run.
cd "$(dirname "$0")" || exit 2
exec node play.mjs
