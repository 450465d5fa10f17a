#!/bin/sh
# Builds the stand-ins of the scripts: plain Python, with the standard library only.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q .
