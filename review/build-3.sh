#!/usr/bin/env bash
# Builds the stand-ins of review/11 to review/13 into target/. It needs no network and no module but this one.
set -eu
cd "$(dirname "$0")/.."
go build -tags review3 -o target/stand-3 ./review/stand-3
