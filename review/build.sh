#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases, after the line `build` of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/lab"
go build -o ../../target/review/lab .
