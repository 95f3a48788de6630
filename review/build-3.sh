#!/usr/bin/env bash
# Builds the stand-in of the cases 11 to 14 into target/, without a network. It uses the standard library only.
set -eu
cd "$(dirname "$0")/.."
GOTOOLCHAIN=local GOPROXY=off go build -buildvcs=false -tags review3 -o target/stand-3 ./review/stand-3
