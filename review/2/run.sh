#!/usr/bin/env bash
# Plays the case; needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review/review-case ] || [ ! -x target/release/pollendrift ]; then
    echo "the case could not run: a program is not built" | tee review/2/record.txt
    exit 2
fi
# The case ends by itself after 100 s at most, with all its processes.
timeout --kill-after=2 110 target/review/review-case leave-lost review/2
code=$?
[ "$code" -le 2 ] || exit 2
exit "$code"
