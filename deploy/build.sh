#!/usr/bin/env bash
# Put the libraries and our packages below target/deps, compiled, for the machines.
set -euo pipefail
cd "$(dirname "$0")/.."
pip() { python3 -m pip install --quiet --disable-pip-version-check --no-compile "$@"; }
libraries=target/deps/.libraries
if ! cmp -s deploy/requirements.txt "$libraries"; then
    rm -rf target/deps
    pip --target target/deps -r deploy/requirements.txt
    cp deploy/requirements.txt "$libraries"
fi
for package in core host fleet daemon; do
    cp -r "packages/$package/src/." target/deps/
done
cp -r platform/src/. target/deps/
find target/deps -name '*.egg-info' -prune -exec rm -rf {} +
python3 -m compileall -q target/deps
