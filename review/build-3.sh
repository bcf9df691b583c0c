#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts into review/standin-4/bin. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin-4"
GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local GOWORK=off go build -buildvcs=false -o bin/standin-4 .
