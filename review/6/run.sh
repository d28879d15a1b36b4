#!/usr/bin/env bash
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves out the disruption. Needs the build of the deploy file and
# review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-standin-2 orders target/ibispierd review/6/record.txt
