#!/bin/sh
# Builds the stand-ins of the second review's cases, with the standard library only. Run it from anywhere, after
# the build of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/common-2/*.rs; do
    name=$(basename "$source" .rs)
    case $name in lib | h2) continue ;; esac
    rustc --edition 2024 -O -A dead_code -o "target/review-2/$name" "$source"
done
