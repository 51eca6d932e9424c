#!/usr/bin/env bash
# Builds what the scripts of review/4 to review/8 start besides the program: the project's own stand-ins and the packages that they import.
set -euo pipefail
cd "$(dirname "$0")/.."
npx tsc -b
for script in review/shared-2/*.mjs review/[4-8]/*.mjs; do
	node --check "$script"
done
