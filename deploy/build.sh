#!/bin/sh
# Installs the roles and their libraries in target/; docs/design/processes.md says how.
set -eu
cd "$(dirname "$0")/.."
umask 022
if ! python3 -I -S -c 'import sys; sys.exit(sys.version_info < (3, 11))'; then
  echo "build: python3 is missing or older than 3.11; install Python 3.11 or newer" \
    "as python3, for that is what starts the roles" >&2
  exit 1
fi
exec python3 -E -s -B -m deploy.build
