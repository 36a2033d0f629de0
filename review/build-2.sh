#!/usr/bin/env bash
# Builds the stand-ins of the second review, each a program of its own, into a folder of its own under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for name in long_tenant_names slow_reader late_beat; do
  rustc --edition 2024 -O -A dead_code --crate-name "$name" "review/stand-ins-2/$name.rs" -o "$out/$name"
done
