#!/usr/bin/env bash
# Runs a small deployment on loopback: 3 control, 2 entry and 3 agent processes,
# each agent with a stand-in target and a stand-in worker.
#
#   examples/local.sh start   build, start, form the quorum and apply the lists
#   examples/local.sh stop    stop the processes of the deployment
#   examples/local.sh status  list the processes of the deployment
#
# Binaries, logs, data and keys are in .local at the root of the repository.
set -euo pipefail

root=$(cd "$(dirname "$0")/.." && pwd)
run=$root/.local
export IBISPIER_ADMIN=127.0.0.1:8111,127.0.0.1:8112,127.0.0.1:8113
export IBISPIER_ENTRY=127.0.0.1:8401,127.0.0.1:8402

# launch NAME PROGRAM ARGUMENT... starts one process in the run folder.
launch() {
	local name=$1
	shift
	(cd "$run" && exec "$run/bin/$@" >"$run/log/$name.log" 2>&1) &
	echo $! >"$run/pid/$name"
}

# running NAME succeeds if the process that launch started is still running. It
# compares the path of the program, because the system may have reused the pid.
running() {
	local pid
	pid=$(cat "$run/pid/$1")
	ps -o args= -p "$pid" 2>/dev/null | grep -qF "$run/bin/"
}

ended() { ! running "$1"; }

names() { ls "$run/pid" 2>/dev/null || true; }

# await WHAT COMMAND... repeats the command until it succeeds, for at most 40 s,
# which is longer than the drain of a process.
await() {
	local what=$1 i
	shift
	for ((i = 0; i < 200; i++)); do
		if "$@" >"$run/log/await.log" 2>&1; then return; fi
		sleep 0.2
	done
	echo "local.sh: $what: timed out after 40 s; see $run/log" >&2
	exit 1
}

start() {
	local name
	for name in $(names); do
		if running "$name"; then
			echo "local.sh: $name is already running; stop it first" >&2
			exit 1
		fi
	done
	rm -rf "$run"
	mkdir -p "$run/bin" "$run/log" "$run/pid"
	(cd "$root" && go build -o "$run/bin/" ./cmd/...)
	local i
	for i in 1 2 3; do
		launch "target-$i" ibispier-standin -kind target -listen "127.0.0.1:940$i" -id "target-$i"
		launch "worker-$i" ibispier-standin -kind worker -listen "127.0.0.1:941$i" -id "worker-$i"
	done
	for name in control-1 control-2 control-3 entry-1 entry-2 agent-1 agent-2 agent-3; do
		launch "$name" ibispierd -config "$root/examples/local/$name.ini"
	done
	set_up
	echo "ready; use it with"
	echo "  export IBISPIER_ADMIN=$IBISPIER_ADMIN IBISPIER_ENTRY=$IBISPIER_ENTRY PATH=$run/bin:\$PATH"
	echo "  curl -i -H 'Ibispier-Customer: demo' http://127.0.0.1:8401/v1/services/price-check/lots/1"
}

# quorum forms the quorum. If the response to a bootstrap was lost, a retry is
# refused; listing the members then shows that the quorum exists.
quorum() {
	"$run/bin/ibispier" control bootstrap -timeout 2s || "$run/bin/ibispier" control members -timeout 2s
}

# set_up forms the quorum, registers two owners and applies the lists.
set_up() {
	local cli=$run/bin/ibispier
	await "health of control-1" curl -fsS http://127.0.0.1:8111/healthz
	await "quorum" quorum
	{
		echo "[owners]"
		echo "ada = $("$cli" key generate "$run/ada.key")"
		echo "bola = $("$cli" key generate "$run/bola.key")"
	} >"$run/owners.ini"
	"$cli" plan owners "$run/owners.ini" -id owners-1 -base 0 >/dev/null
	# Refused until the announced workers and targets cover what the plans promise.
	await "capacity for the lists" "$cli" plan propose "$root/examples/local/lists.ini" -id lists-1
	"$cli" plan approve lists-1 -owner ada -key "$run/ada.key" >/dev/null
	"$cli" plan approve lists-1 -owner bola -key "$run/bola.key" >/dev/null
	await "readiness of entry-1" curl -fsS http://127.0.0.1:8421/readyz
	await "a target" curl -fsS -H 'Ibispier-Customer: demo' http://127.0.0.1:8401/v1/services/price-check/
}

stop() {
	local name
	for name in $(names); do
		if running "$name"; then kill "$(cat "$run/pid/$name")"; fi
	done
	for name in $(names); do
		await "the end of $name" ended "$name"
		rm "$run/pid/$name"
	done
}

status() {
	local name
	for name in $(names); do
		if running "$name"; then echo "$name running"; else echo "$name ended"; fi
	done
}

case ${1:-} in
start) start ;;
stop) stop ;;
status) status ;;
*)
	sed -n '2,9s/^# \{0,1\}//p' "$0" >&2
	exit 2
	;;
esac
