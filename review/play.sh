#!/usr/bin/env bash
# play.sh CASE FOLDER: plays a case with the stand-ins, from the root of the repository. It writes
# FOLDER/record.txt and ends with the status of the case: 1 broken, 0 held, 2 not run.
set -u
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.." || exit 2
if [ ! -x target/bergamotd ] || [ ! -x review/bin/standin ]; then
  echo "build the deploy file and run review/build.sh first" >&2
  exit 2
fi
timeout -k 1 118 review/bin/standin "$1" "$folder/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
