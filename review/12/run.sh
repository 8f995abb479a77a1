#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Build before: the command of deploy/system.toml, and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bergamotd ] && [ -x target/drill3 ] || { echo "build first"; exit 2; }
timeout 115 target/drill3 case takeups review/12
status=$?
[ $status -le 1 ] || exit 2
exit $status
