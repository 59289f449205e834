#!/bin/sh
# Builds the stand-ins and clients of the cases 11 to 15 into target/review-3, after the build of
# the deploy file.
set -e
cd "$(dirname "$0")/.."
node review/lib-3/build.mjs
