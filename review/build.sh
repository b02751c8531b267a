#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
cd review/standin
GOFLAGS=-mod=mod GOWORK=off go build -buildvcs=false -trimpath -o ../../target/review-standin .
