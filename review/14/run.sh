#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
rm -f review/14/record.txt
[ -f target/review-3/case-14.mjs ] || exit 2
exec node target/review-3/case-14.mjs
