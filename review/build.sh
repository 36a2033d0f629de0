#!/bin/sh
# Builds the stand-ins of the review: one program of the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -A dead_code -o target/review/review-stand-ins review/stand_ins.rs
