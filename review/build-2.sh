#!/usr/bin/env bash
# Check that the stand-ins of the cases compile; they need nothing but Python itself.
set -euo pipefail
cd "$(dirname "$0")"
for source in standins-2/*.py [4-8]/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' \
        "$source"
done
