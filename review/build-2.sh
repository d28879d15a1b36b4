#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. It needs the Go
# tool only; the stand-ins have no dependencies.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target
go build -o ../../target/review-standin-2 .
