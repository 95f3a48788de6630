#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases start. It is a module of its own without dependencies.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
cd stand && GOFLAGS="-mod=mod -buildvcs=false" GOPROXY=off go build -o ../bin/stand .
