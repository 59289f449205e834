#!/usr/bin/env bash
# Starts the case from the root of the repository; see claim.txt.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -f target/router.cjs ] || exit 2
exec node review/5/case.mjs
