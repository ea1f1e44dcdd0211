#!/bin/sh
# Builds the stand-ins of the scripts; they use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/stand-ins/case-*.rs; do
    [ -e "$source" ] || continue
    name=$(basename "$source" .rs)
    rustc --edition 2024 -O -o "target/review/$name" "$source"
done
