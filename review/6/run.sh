#!/usr/bin/env bash
# A node deregisters; four processes are killed at once and return; a heartbeat from before arrives late.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
program=target/review-2/late_beat
for needed in "$program" target/release/fernknot-gateway target/release/fernknot-controller; do
  if [ ! -x "$needed" ]; then
    echo "$needed is missing: build the deploy file's programs, then review/build-2.sh" >&2
    exit 2
  fi
done
TMPDIR=$(mktemp -d)
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
timeout 118 "$program" review/6/record.txt
code=$?
if [ "$code" -gt 1 ]; then
  exit 2
fi
exit "$code"
