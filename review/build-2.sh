#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, with the compiler alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand-ins-2/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = harness ] && continue
    rustc --edition 2024 -O -o "target/review-2/$name" "$source"
done
