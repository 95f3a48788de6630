#!/usr/bin/env bash
# Runs the benchmarks and prints each result with its ratio to the committed baseline; -update replaces the baseline.
set -euo pipefail
cd "$(dirname "$0")/.."
out=$(mktemp)
trap 'rm -f "$out"' EXIT
go test -run NONE -bench . ./internal/host/entry ./internal/core/rendez | grep -E '^Benchmark' | sed -E 's/-[0-9]+ +/ /' |
  awk '{ for (i = 3; i < NF; i += 2) print $1, $(i + 1), $i }' >"$out"
if [ "${1:-}" = "-update" ]; then
  cp "$out" scripts/bench.baseline
fi
awk 'NR == FNR { base[$1 " " $2] = $3; next }
  { b = base[$1 " " $2]; r = b > 0 ? sprintf("%.2f", $3 / b) : "-"; printf "%-48s %-14s %12s  baseline %12s  ratio %s\n", $1, $2, $3, b, r }' \
  scripts/bench.baseline "$out"
