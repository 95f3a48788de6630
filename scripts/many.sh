#!/usr/bin/env bash
# Runs 99 hosts as separate processes, and prints how long changes take to come into force and how long hosts take to
# recover when all hosts of a failure domain, and then all hosts, are killed and restarted at once.
set -euo pipefail
source "$(dirname "$0")/fleet.sh"

counts() { "$bin/standin" call GET "http://$platform/control/counts"; }

restart() { # suffix seat...
  local suffix=$1
  shift
  for s in "$@"; do kill -KILL "${pid[$s]}"; done
  for s in "$@"; do wait "${pid[$s]}" 2>/dev/null || true; done
  counts
  for s in "$@"; do
    start "$s-$suffix" "$bin/boragelane" entry "$dir/$s.json"
    pid[$s]=${pid[$s-$suffix]}
  done
  sleep 1
  counts
  sleep 14
  counts
  "$bin/standin" spread "$dir" --files "*-$suffix.log"
}

fleet many
sleep 10
echo "many: ${#front[@]} hosts serve"
for i in $(seq 40); do
  "$bin/boragelane" admin --host "${admin[$((i * 7 % ${#admin[@]}))]}" drain upstream "u$i" >/dev/null
  sleep 0.1
done
sleep 3
"$bin/standin" spread "$dir"
echo "many: all 33 hosts of dar-a are killed and started"
restart domain "${seat[@]:0:33}"
echo "many: all hosts are killed and started"
restart all "${seat[@]}"
