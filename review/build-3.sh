#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases 11 to 13 start, after the build of the
# deploy file. It needs only the standard library.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o ../../target/review-3/standin-3 .
