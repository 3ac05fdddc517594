#!/usr/bin/env bash
# Runs every test, with the race detector wherever threads meet. Tests named in KNOWN-RED.txt are passed over and
# printed.
set -euo pipefail
cd "$(dirname "$0")/.."
red=$(grep -oE '^Test[A-Za-z0-9_/]+' KNOWN-RED.txt 2>/dev/null | sort -u | paste -sd'|' - || true)
# skip_args prints the arguments of go test that leave out the red tests, and those of a list A|B beside them.
skip_args() {
	local names="$red${red:+${1:+|}}${1:-}"
	[ -z "$names" ] || echo "-skip=^($names)\$"
}
[ ! -s KNOWN-RED.txt ] || cat KNOWN-RED.txt
if [ -n "$red" ]; then
	echo "known red, passed over (see KNOWN-RED.txt): $red"
fi
# The model search of citron/shard and the plays of citron/pool and citron/holder have one thread and many states.
go test -count=1 -timeout 20m $(skip_args) ./citron/shard/... ./citron/pool/... ./citron/holder/...
plays='TestClaimedPartitionsHoldEverythingAcknowledged|TestPlayOfPartitionsFindsEachLeftOutRule'
threaded=$(go list ./schema/... ./citron/... ./citrond/... ./citronctl/... ./citronlab/... ./platform/... | grep -vE '/citron/(shard|pool)$')
go test -race -count=1 -timeout 20m $(skip_args "$plays") $threaded
# A short fixed run of each fuzz target.
fuzz() { go test -run '^$' -fuzz "^$1\$" -fuzztime 2000x "$2"; }
fuzz FuzzRead ./citron/conf
fuzz FuzzParse ./citron/tmpl
fuzz FuzzFolds ./citron/state
fuzz FuzzDecodeJob ./platform
fuzz FuzzDecodeServer ./platform
fuzz FuzzDecodeConfig ./platform
fuzz FuzzDecodeRecords ./platform
fuzz FuzzDecodeWave ./platform
