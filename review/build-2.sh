#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into review/standin-2/bin and review/standin-3/bin. It needs no
# network.
set -euo pipefail
cd "$(dirname "$0")"
for standin in standin-2 standin-3; do
  (cd "$standin" && GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -buildvcs=false -o bin/ .)
done
