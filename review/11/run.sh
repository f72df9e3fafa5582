#!/usr/bin/env bash
# Exits with 1 if a task ran twice at the same time, 0 if none did, 2 if the case could not run.
# TROUBLE=0 leaves out the freeze and the kill. Needs the build of the deploy file and build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/case-11 ] || exit 2
timeout -k 5 110 target/review-3/case-11 review/11/record.txt
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
