#!/usr/bin/env bash
# The stand-ins of the cases are plain scripts, which need no compiling; this only checks that each can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for script in support/*.mjs */case.mjs; do
	node --check "$script"
done
