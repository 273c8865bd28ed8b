#!/bin/sh
# Checks the stand-ins of cases 4 to 6. They are scripts of Node.js that need no libraries and nothing to be compiled; the
# gateways are built by the deploy file's build.
cd "$(dirname "$0")/.." || exit 2
for file in review/support-2/*.mjs review/4/case.mjs review/5/case.mjs review/6/case.mjs; do
  node --check "$file" || exit 1
done
