#!/bin/sh
# Builds the stand-in that the scripts of review/6 and later start, after the build of the deploy file. Needs no network.
set -eu
cd "$(dirname "$0")/.."
GOWORK=$PWD/review/go.work go build -o target/bed ./review/bed
