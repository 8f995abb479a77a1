#!/bin/bash
# Builds the stand-ins and drivers of the cases 11 to 15 into target/, beside the programs that the deploy file builds.
# They are a module of their own without dependencies, so that they stay out of CI and of the default test run.
set -eu
cd "$(dirname "$0")/drill3"
go build -o ../../target/drill3 .
