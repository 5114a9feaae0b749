#!/bin/sh
# Builds the stand-ins of cases 6 to 10 with the Rust compiler and its standard library alone. From any folder, after
# the build of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    rustc --edition 2024 -O -A dead_code -o "target/review-2/case$number" "review/$number/case.rs"
done
