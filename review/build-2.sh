#!/bin/sh
# Builds the stand-ins and the client of the cases 6 to 10: target/review-2/stand-2. Needs no package.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2 && exec rustc --edition 2021 -O -o target/review-2/stand-2 review/stand-2/main.rs
