#!/bin/sh
# The extra answer of a refusal arrives late, in place of the answer to a later sending of the same
# request. See claim.txt.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-2/late_refusal ] || { echo "run review/build-2.sh first"; exit 2; }
exec target/review-2/late_refusal "$here"
