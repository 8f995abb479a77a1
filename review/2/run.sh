#!/usr/bin/env bash
# LOST: sound requests beside a part of prompts that crashes engines.
exec bash "$(dirname "$0")/../play.sh" sound-part "$(dirname "$0")"
