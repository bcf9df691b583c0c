#!/usr/bin/env bash
# Builds the stand-ins of the cases, which use the standard library only, into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
GOFLAGS=-mod=mod GOWORK=off go build -o bin/standin ./standin
