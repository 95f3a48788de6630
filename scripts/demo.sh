#!/usr/bin/env bash
# Runs a small system as separate processes under load, drains, stops and kills parts of it, and checks its guarantees.
set -euo pipefail
source "$(dirname "$0")/fleet.sh"
fleet demo
echo "demo: ${#front[@]} entry hosts serve; $("$bin/boragelane" lookup "${front[0]}" --caller grace)"

# The operator commands in docs/OPERATING.md must succeed.
"$bin/boragelane" version
for c in show status "explain price --caller grace --rank urgent" "drain host mwanza-b-2" "undrain host mwanza-b-2"; do
  # shellcheck disable=SC2086
  "$bin/boragelane" admin --host "${admin[0]}" $c >/dev/null || { echo "demo: admin $c failed"; exit 1; }
done
code=0
"$bin/boragelane" admin --host "${admin[0]}" drain host mwanza-b-2 --expect 1 >/dev/null 2>&1 || code=$?
[ "$code" -eq 3 ] || { echo "demo: a conflicting drain ended with exit code $code"; exit 1; }

"$bin/standin" load "$dir/load.json" --report "$dir/report.json" >"$dir/table" &
load=$!
pids+=("$load")
sleep 3
drained=price-dar-a-1
"$bin/boragelane" admin --host "${admin[1]}" drain upstream "$drained" >/dev/null
at=$(date -u +%Y-%m-%dT%H:%M:%S.%NZ)
echo "demo: drained upstream $drained"
sleep 2
echo "demo: stopping entry host dar-b-1 as planned"
kill -TERM "${pid[dar-b-1]}"
sleep 5
echo "demo: killing entry host mwanza-a-1"
kill -KILL "${pid[mwanza-a-1]}"
wait "${pid[mwanza-a-1]}" 2>/dev/null || true
wait "$load"
wait "${pid[dar-b-1]}" || { echo "demo: the planned stop failed"; exit 1; }
cat "$dir/table"
stopped=$(awk '$1 == "entry" && $2 == "dar-b-1" { print $3 }' "$dir/processes")
"$bin/standin" judge "$dir" --drained "$drained" --at "$at" --stopped "$stopped"
