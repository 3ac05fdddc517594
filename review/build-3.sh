#!/bin/sh
# Builds the stand-ins that the scripts of the third review start.
set -e
cd "$(dirname "$0")/.."
GOWORK=$PWD/review/go.work go build -o target/rig ./review/rig
