#!/usr/bin/env bash
# Runs all tests, with the race detector for concurrent code. Tests named in KNOWN-RED.txt are skipped and printed.
set -euo pipefail
cd "$(dirname "$0")/.."
red=$(grep -oE '^Test[A-Za-z0-9_/]+' KNOWN-RED.txt 2>/dev/null | sort -u | paste -sd'|' - || true)
# skip_args prints the go test arguments that skip the known red tests and those of an optional list A|B.
skip_args() {
	local names="$red${red:+${1:+|}}${1:-}"
	[ -z "$names" ] || echo "-skip=^($names)\$"
}
[ ! -s KNOWN-RED.txt ] || cat KNOWN-RED.txt
if [ -n "$red" ]; then
	echo "known red, skipped (see KNOWN-RED.txt): $red"
fi
# The model checks of citron/shard and the simulations of citron/pool and citron/holder run without the race detector,
# because they are single-threaded and visit many states.
go test -count=1 -timeout 20m $(skip_args) ./citron/shard/... ./citron/pool/... ./citron/holder/...
simulations='TestClaimedPartitionsHoldEverythingAcknowledged|TestPartitionSimulationDetectsEachMutant'
concurrent=$(go list ./schema/... ./citron/... ./citrond/... ./citronctl/... ./citronlab/... ./platform/... | grep -vE '/citron/(shard|pool)$|/citronlab/crowd$')
go test -race -count=1 -timeout 20m $(skip_args "$simulations") $concurrent
# The tests of crowds measure the memory of a daemon's process; they run one at a time, apart from the others.
go test -count=1 -timeout 20m $(skip_args) ./citronlab/crowd
# Runs each fuzz target a fixed number of times.
fuzz() { go test -run '^$' -fuzz "^$1\$" -fuzztime 2000x "$2"; }
fuzz FuzzRead ./citron/conf
fuzz FuzzParse ./citron/tmpl
fuzz FuzzFolds ./citron/state
fuzz FuzzDecodeJob ./platform
fuzz FuzzDecodeServer ./platform
fuzz FuzzDecodeConfig ./platform
fuzz FuzzAuthorization ./platform
fuzz FuzzDecodeRecords ./platform
fuzz FuzzDecodeWave ./platform
fuzz FuzzOrdersAndAnswers ./citron/relay
