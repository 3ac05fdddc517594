#!/usr/bin/env bash
# Regenerates the Go code of every message. Needs buf, protoc-gen-go and protoc-gen-go-grpc in .tools/.
set -euo pipefail
cd "$(dirname "$0")"
PATH="$PWD/../.tools:$PATH" buf generate
