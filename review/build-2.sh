#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into review/standin-2/bin. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -buildvcs=false -o bin/ .
