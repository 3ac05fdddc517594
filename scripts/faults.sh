#!/usr/bin/env bash
# Injects faults into the example cell of separate processes under load, then reads the endpoints' records of their runs.
# Writes docs/results/faults.txt. Takes about a minute.
set -euo pipefail
cd "$(dirname "$0")/.."
run=.run/cell
platform=http://127.0.0.1:9000

pid() { cat "$run/entry-$1.pid"; }
# at prints a text after the seconds since the load began.
at() { echo "$(($(date +%s) - began)) s: $*"; }

inject_faults() {
	began=$(date +%s)
	sleep 6 && at "SIGKILL entry-3" && kill -KILL "$(pid 3)"
	sleep 6 && at "SIGSTOP entry-4 until its leases have expired" && kill -STOP "$(pid 4)"
	sleep 6 && at "SIGCONT entry-4" && kill -CONT "$(pid 4)"
	sleep 3 && at "log unavailable" && curl -s -X POST "$platform/v1/faults/log?Down=true"
	sleep 2 && at "SIGKILL entry-5 while the log is unavailable" && kill -KILL "$(pid 5)"
	sleep 6 && at "log available" && curl -s -X POST "$platform/v1/faults/log?Down=false"
	sleep 2 && at "restart of entry-3 and entry-5" && rm -f "$run/entry-3.pid" "$run/entry-5.pid"
	scripts/cell.sh restart 3
	scripts/cell.sh restart 5
	sleep 4 && at "planned restart of entry-1" && scripts/cell.sh restart 1
	sleep 4 && at "no more faults"
}

scripts/cell.sh start >/dev/null
sleep 3
{
	echo "load through six daemons with the faults listed below; commit $(git rev-parse --short HEAD)"
	inject_faults &
	"$run/citronlab" load docs/results/faults.toml
	wait %1
	echo "endpoints' records: most calls at once, slots, number of runs"
	for n in 0 1 2 3; do
		curl -s "http://127.0.0.100:910$n/v1/record"
	done
	echo "sweep calls over all endpoints: number of request ids, number that ran more than once"
	for n in 0 1 2 3; do
		curl -s "http://127.0.0.100:910$n/v1/record?Runs=true" | tr ',{}' '\n\n\n' | grep /sweep/
	done | awk -F: '{runs[$1 ":" $2] += $NF} END {for (id in runs) {all++; if (runs[id] > 1) again++}; print all + 0, again + 0}'
	"$run/citronctl" status
} | tee docs/results/faults.txt
scripts/cell.sh stop
