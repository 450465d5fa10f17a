#!/bin/sh
# Installs the roles and their libraries in target/ and compiles them.
set -eu
if [ ! -e target/deps/ready ] || [ requirements-platform.txt -nt target/deps/ready ] ||
  [ constraints.txt -nt target/deps/ready ]; then
  python3 -m pip install --quiet --disable-pip-version-check --upgrade \
    --target target/deps --constraint constraints.txt \
    --requirement requirements-platform.txt
  touch target/deps/ready
fi
rm -rf target/app
mkdir -p target/app
cp -R packages/*/pomelotrail_* platform/pomelotrail_platform platform/launch.py target/app
python3 -m compileall -q target/deps target/app
