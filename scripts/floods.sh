#!/usr/bin/env bash
# Floods a small system with requests of the least urgent rank, of the most urgent rank and of both, and prints a table
# per phase. The first calm phase warms up the upstreams; the later ones are the baseline for the floods.
set -euo pipefail
source "$(dirname "$0")/fleet.sh"
fleet floods
for phase in calm calm last calm top both; do
  echo "floods: $phase"
  "$bin/standin" load "$dir/load-$phase.json"
done
