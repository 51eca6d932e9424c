#!/usr/bin/env bash
# TROUBLE=0 leaves out the disruption.
set -u
cd "$(dirname "$0")/../.."
exec node review/6/case.mjs
