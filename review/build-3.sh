#!/bin/sh
# Builds the stand-ins of the third review's scripts into target/, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/standin3 ./review/standin3
