#!/bin/sh
# Builds the stand-ins of the cases with the Rust compiler alone: no package is needed. From any folder.
set -eu
cd "$(dirname "$0")"
mkdir -p build
for case in 1 2 3; do
    if [ -f "$case/case.rs" ]; then
        rustc --edition 2024 -O -o "build/case$case" "$case/case.rs"
    fi
done
