#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into review/bin, without a network.
set -eu
cd "$(dirname "$0")/stand-2"
GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../bin/stand-2 .
