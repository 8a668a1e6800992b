#!/usr/bin/env bash
# Prepares the stand-ins of the scripts: Python sources that need no build, only the check that they load.
set -eu
cd "$(dirname "$0")/.."
for module in case client deployment replica store; do
    PYTHONPATH="$PWD" python3 -B -c "import review.standins.$module"
done
