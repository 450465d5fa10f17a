#!/bin/sh
# Checks what the scripts of the second review start: stand-ins of the standard library
# alone, which need no build, and the roles that the build of the deploy file has made.
set -eu
cd "$(dirname "$0")/.."
for file in review/stand_ins_2.py review/[6-9]/case.py review/10/case.py; do
  [ ! -f "$file" ] || python3 -B -c \
    'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
if [ ! -f target/app/launch.py ]; then
  echo "build-2: run the build of deploy/system.toml first (sh deploy/build.sh)" >&2
  exit 1
fi
