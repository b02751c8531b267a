#!/usr/bin/env bash
# Builds the programs that the scripts of cases 6 to 10 start, besides that of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/ ./cmd/celerystandin ./review/meshcase
