#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/cairnbankd.cjs ] || { echo 'the build of the deploy file is missing' >&2; exit 2; }
exec node review/3/case.mjs
