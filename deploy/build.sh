#!/usr/bin/env bash
# Put the libraries and our packages below target/deps, compiled, for the machines.
set -euo pipefail
cd "$(dirname "$0")/.."
pip() { python3 -m pip install --quiet --disable-pip-version-check --no-compile "$@"; }
sources="packages/core/src packages/host/src packages/fleet/src packages/daemon/src platform/src"
libraries=target/deps/.libraries
built=target/deps/.sources
present=$(find $sources -name '*.py' -print0 | sort -z | xargs -0 sha256sum | sha256sum)
# Processes that run from an earlier build of the same sources must not see it change.
if cmp -s deploy/requirements.txt "$libraries" && [ "$present" = "$(cat $built 2>/dev/null)" ]; then
    exit 0
fi
if ! cmp -s deploy/requirements.txt "$libraries"; then
    rm -rf target/deps
    pip --target target/deps -r deploy/requirements.txt
    cp deploy/requirements.txt "$libraries"
fi
rm -rf target/deps/cowslipshelf_*
for folder in $sources; do
    cp -r "$folder/." target/deps/
done
find target/deps -name '*.egg-info' -prune -exec rm -rf {} +
python3 -m compileall -q target/deps
echo "$present" > "$built"
