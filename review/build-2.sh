#!/bin/sh
# Checks the stand-ins of the scripts in review/6 to review/10. They are plain
# JavaScript and start as they are, with the Node.js that the build of the
# deploy file brings.
set -e
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/[6-9]/*.mjs review/10/*.mjs; do
  [ ! -e "$file" ] || node_modules/.bin/node --check "$file"
done
test -x target/sesamequay
