#!/usr/bin/env bash
# Builds the stand-in of the cases 11 to 15 into target/. It is a module of its own, which needs the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
mkdir -p ../../target
GOFLAGS=-mod=mod GOWORK=off go build -buildvcs=false -trimpath -o ../../target/standin-3 .
