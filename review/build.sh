#!/usr/bin/env bash
# Builds the stand-ins of the scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-standin ./review/standin
