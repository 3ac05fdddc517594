#!/usr/bin/env bash
# Strikes the cell of separate processes while load runs, then reads the endpoints' own records.
# Writes docs/results/faults.txt. Takes about a minute.
set -euo pipefail
cd "$(dirname "$0")/.."
run=.run/cell
platform=http://127.0.0.1:9000

pid() { cat "$run/entry-$1.pid"; }
at() { echo "$(($(date +%s) - began)) s: $*"; }

strike() {
	began=$(date +%s)
	sleep 6 && at "SIGKILL entry-3" && kill -KILL "$(pid 3)"
	sleep 6 && at "SIGSTOP entry-4, past its lease" && kill -STOP "$(pid 4)"
	sleep 6 && at "SIGCONT entry-4" && kill -CONT "$(pid 4)"
	sleep 3 && at "log outage" && curl -s -X POST "$platform/v1/faults/log?Down=true"
	sleep 2 && at "SIGKILL entry-5 during the outage" && kill -KILL "$(pid 5)"
	sleep 6 && at "log back" && curl -s -X POST "$platform/v1/faults/log?Down=false"
	sleep 2 && at "entry-3 and entry-5 start again" && rm -f "$run/entry-3.pid" "$run/entry-5.pid"
	scripts/cell.sh restart 3
	scripts/cell.sh restart 5
	sleep 4 && at "planned stop and start of entry-1" && scripts/cell.sh restart 1
	sleep 4 && at "end of the strikes"
}

scripts/cell.sh start >/dev/null
sleep 3
{
	echo "load through six daemons, struck as below; run of $(git rev-parse --short HEAD)"
	strike &
	"$run/citronlab" load docs/results/faults.toml
	wait %1
	echo "endpoints' own records: most calls at once of slots, and runs"
	for n in 0 1 2 3; do
		curl -s "http://127.0.0.100:910$n/v1/record"
	done
	echo "sweeps over all endpoints: request ids, and those that ran more than once"
	for n in 0 1 2 3; do
		curl -s "http://127.0.0.100:910$n/v1/record?Runs=true" | tr ',{}' '\n\n\n' | grep /sweep/
	done | awk -F: '{runs[$1 ":" $2] += $NF} END {for (id in runs) {all++; if (runs[id] > 1) again++}; print all + 0, again + 0}'
	"$run/citronctl" status
} | tee docs/results/faults.txt
scripts/cell.sh stop
