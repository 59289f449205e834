#!/usr/bin/env bash
# Builds what the scripts of the review start beside the deploy file's program. The stand-ins are plain
# JavaScript for Node.js and need no build; this checks that they can be loaded.
set -eu
cd "$(dirname "$0")/.."
for file in review/lib/*.mjs review/*/case.mjs; do
  node --check "$file"
done
