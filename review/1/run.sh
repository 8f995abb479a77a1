#!/usr/bin/env bash
# BUDGET: a lookup that crashes runners and comes again.
exec bash "$(dirname "$0")/../play.sh" lookup-crash "$(dirname "$0")"
