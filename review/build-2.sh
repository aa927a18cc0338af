#!/bin/sh
# Builds the program and the stand-ins of the scripts of the second review (cases 4 to 6).
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked
mkdir -p target/review-2
for source in review/[456]/case.rs; do
    number=$(basename "$(dirname "$source")")
    rustc --edition 2024 -O -o "target/review-2/case-$number" "$source"
done
