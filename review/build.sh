#!/bin/sh
# Builds the stand-in that the scripts of the cases start. It needs no network.
set -eu
cd "$(dirname "$0")/.."
GOWORK="$PWD/review/go.work" go build -o target/reviewstand ./review/stand
