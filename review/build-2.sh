#!/usr/bin/env bash
# Builds nothing: the stand-ins of the second review are programs of Node.js and Perl without
# dependencies. Checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs [0-9]*/run.mjs; do
  node --check "$file"
done
perl -c lib-2/slow-client.pl
