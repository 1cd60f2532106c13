#!/bin/sh
# Bundles the scripts of all cases with their stand-ins into target/review.
# Run it after the build of the deploy file; it needs no network.
set -eu
cd "$(dirname "$0")/.."
for source in review/*/case.ts; do
  [ -e "$source" ] || continue
  folder=$(basename "$(dirname "$source")")
  node_modules/.bin/esbuild "$source" --bundle --platform=node --format=esm \
    --target=node20 --log-level=error --outfile="target/review/$folder.mjs"
done
