#!/bin/sh
# Builds the review's scripts and the stand-ins that they start.
# The build of the deploy file comes first.
cd "$(dirname "$0")/.." || exit 2
for script in review/[1-5]/run.ts; do
  [ -f "$script" ] || continue
  number=$(basename "$(dirname "$script")")
  node_modules/.bin/esbuild "$script" --bundle --platform=node --format=esm \
    --target=node24 --log-level=warning \
    --outfile="target/review/$number.mjs" || exit 1
done
