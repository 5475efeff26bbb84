#!/bin/bash
# Runs case 8: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Build before it: the deploy file's build line, and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/badgergauge target/review-2/cases; do
    [ -x "$program" ] || { echo "$program is missing"; exit 2; }
done
set -m
target/review-2/cases 8 "$PWD/review/8" &
job=$!
# Whatever the case has left behind ends with it: it is all in one process group.
trap 'kill -KILL -- -$job 2>/dev/null; rm -rf "${TMPDIR:-/tmp}/bgr2-$job" "/tmp/bgr2-$job"' EXIT
wait "$job"
code=$?
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
