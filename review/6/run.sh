#!/bin/sh
# All machines lose power soon after a change went out. See claim.txt.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-2/torn_write ] || { echo "run review/build-2.sh first"; exit 2; }
# A change that is acknowledged before the power is lost makes a run void (2): try again.
for _ in 1 2 3; do
    target/review-2/torn_write "$here"
    code=$?
    [ $code -eq 2 ] || exit $code
done
exit 2
