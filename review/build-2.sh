#!/usr/bin/env bash
# Builds the programs that the scripts of cases 6 to 10 start, besides that of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/ ./cmd/celerystandin
# A module of its own that needs the standard library only, so that ./... of the project leaves it out.
cd review/meshcase
GOFLAGS=-mod=mod GOWORK=off go build -buildvcs=false -trimpath -o ../../bin/meshcase .
