#!/usr/bin/env bash
# Plays this case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Build the deploy file and review/build.sh before.
cd "$(dirname "$0")/../.." || exit 2
[[ -x target/agatehavend && -x target/review-standin ]] || exit 2
exec target/review-standin gang-cut "review/5"
