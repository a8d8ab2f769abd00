#!/bin/sh
# Runs the case with the stand-ins of review/standin-2, which write record.txt here; TROUBLE=0 leaves the disruption out.
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
program=target/review-2/release/standin2
[ -x "$program" ] && [ -x target/release/bellsill ] || { echo "build first: the deploy file's build, then review/build-2.sh"; exit 2; }
exec "$program" old-list "$here"
