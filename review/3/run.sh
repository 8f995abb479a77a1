#!/usr/bin/env bash
# DRAIN: a late heartbeat beside the removal of an entry.
exec bash "$(dirname "$0")/../play.sh" late-entry "$(dirname "$0")"
