#!/usr/bin/env bash
# Builds the stand-in of the cases 11 to 15 into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -trimpath -o target/ ./review/standin-3
