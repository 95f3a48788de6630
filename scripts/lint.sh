#!/usr/bin/env bash
# Builds the linter declared in tools/go.mod if it is missing, and runs its linters and formatters.
set -euo pipefail
cd "$(dirname "$0")/.."
lint=$PWD/bin/golangci-lint
[ -x "$lint" ] || (cd tools && go build -mod=mod -o "$lint" github.com/golangci/golangci-lint/v2/cmd/golangci-lint)
"$lint" run ./...
"$lint" fmt --diff ./...
