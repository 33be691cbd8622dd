#!/usr/bin/env bash
# Prepares the stand-ins and scripts of the cases 6 to 10. They are plain JavaScript without dependencies.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs {6,7,8,9,10}/*.mjs; do
	node --check "$file"
done
