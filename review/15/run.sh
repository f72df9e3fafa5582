#!/usr/bin/env bash
# Exits with 1 if a request was handled by an older configuration, 0 if none was, 2 if the case could not
# run. TROUBLE=0 leaves out the silence. Needs the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/case-15 ] || exit 2
timeout -k 5 110 target/review-3/case-15 review/15/record.txt
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
