#!/bin/sh
# Builds the stand-ins, clients and judges of the cases that are scripts: target/review-3/stand-3. Needs no package.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-3 && exec rustc --edition 2024 -O -o target/review-3/stand-3 review/stand-3/main.rs
