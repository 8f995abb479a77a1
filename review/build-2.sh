#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. They use the standard library only, so that no network
# is needed. The daemons themselves are built by the build line of deploy/system.toml.
set -euo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"
GOTOOLCHAIN=local GOFLAGS= GOWORK=off go build -C "$root/review/drill2" -o "$root/target/review-2/drill2" .
