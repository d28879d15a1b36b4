#!/usr/bin/env bash
# Builds the stand-ins of the review. The programs of the project are built by the
# command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-standin .
