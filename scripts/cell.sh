#!/usr/bin/env bash
# Starts or stops the example cell as separate processes: platform, endpoints, workers and six daemons.
# Usage: scripts/cell.sh start | stop | restart N | kill N
set -euo pipefail
cd "$(dirname "$0")/.."
run=.run/cell

build() {
	mkdir -p "$run"
	go build -o "$run/" ./citrond ./citronctl ./citronlab
}

# spawn runs COMMAND in the background with a log file and a pid file under NAME.
spawn() { # spawn NAME COMMAND...
	local name=$1
	shift
	"$@" >>"$run/$name.log" 2>&1 &
	echo $! >"$run/$name.pid"
}

start_daemon() { spawn "entry-$1" "$run/citrond" run "$run/entry-$1.toml"; }

# stop_process sends SIGNAL to a process and waits until it has exited.
stop_process() { # stop_process NAME SIGNAL
	local file=$run/$1.pid pid
	pid=$(cat "$file" 2>/dev/null) || return 0
	kill "-$2" "$pid" 2>/dev/null || true
	while kill -0 "$pid" 2>/dev/null; do sleep 0.05; done
	rm -f "$file"
}

start() {
	if compgen -G "$run/*.pid" >/dev/null; then
		echo "a cell is running; stop it first: scripts/cell.sh stop" >&2
		exit 1
	fi
	build
	"$run/citronlab" settings "$run"
	spawn platform "$run/citronlab" platform
	for n in 0 1 2 3; do
		spawn "passcast-0$n" "$run/citronlab" endpoint --name "passcast-0$n" --service passcast --listen "127.0.0.100:910$n" --seed "$n"
		spawn "reservations-0$n" "$run/citronlab" endpoint --name "reservations-0$n" --service reservations --listen "127.0.0.100:911$n" --seed "1$n"
	done
	for n in 0 1 2 3 4 5; do
		spawn "worker-0$n" "$run/citronlab" worker --name "worker-0$n" --listen "127.0.0.101:950$n"
	done
	for n in 1 2 3 4 5 6; do start_daemon "$n"; done
	until "$run/citronctl" template publish examples/ballyhoura.toml 2>/dev/null; do sleep 0.1; done
	"$run/citronctl" template publish examples/bensalah.toml
	# Waits until all 25 shards have an active owner.
	until "$run/citronctl" status | awk 'NR>1 {n+=$7} END {exit n!=25}'; do sleep 0.2; done
	"$run/citronctl" status
}

stop() {
	for n in 1 2 3 4 5 6; do stop_process "entry-$n" INT & done
	wait
	for f in "$run"/*.pid; do
		[ -e "$f" ] || continue
		stop_process "$(basename "$f" .pid)" INT
	done
}

case ${1:-} in
start) start ;;
stop) stop ;;
restart) stop_process "entry-$2" INT && start_daemon "$2" ;;
kill) stop_process "entry-$2" KILL ;;
*)
	sed -n 2,3p "$0"
	exit 2
	;;
esac
