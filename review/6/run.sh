#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption; the program reads it (../lib-2/stage.rs).
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-6 ] || { echo "build with review/build-2.sh first" >&2; exit 2; }
TROUBLE=${TROUBLE:-1}
export TROUBLE
exec target/review-2/case-6 review/6
