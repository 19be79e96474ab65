#!/bin/sh
# All machines lose power soon after a change went out. See claim.txt.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-2/torn_write ] || { echo "run review/build-2.sh first"; exit 2; }
exec target/review-2/torn_write "$here"
