#!/usr/bin/env bash
# Benchmarks: measures the promises that have a numeric bound, and prints one JSON object per line.
# Takes less than three minutes. PARTS selects some of: latency zone overload control moves.
# OUT is the directory of the plot, ZONE_RATE the requests per second of the part zone, SIZES the
# numbers of nodes in the part control.
set -u
cd "$(dirname "$0")/.."
PARTS=${PARTS:-latency zone overload control moves}
OUT=${OUT:-out}
mkdir -p "$OUT"

selected() { case " $PARTS " in *" $1 "*) ;; *) return 1 ;; esac; }

# begin_run BASE: creates the directory of a run and starts the log service, in the address range
# 127.BASE or one that follows.
begin_run() {
	BASE=$1
	RUN=$(mktemp -d)
	. scripts/fleet.sh
	start_platform
}
# end_run: stops all processes of the run and removes its directory.
end_run() {
	stop_all
	rm -rf "$RUN"
	PIDS=()
}
trap 'stop_all; rm -rf "$RUN"' EXIT
PIDS=()
RUN=

# nodes_ready COUNT: whether the mesh has exactly COUNT nodes, and all have a configuration and are ready.
nodes_ready() { ctl status | awk -v want="$1" 'NR > 1 && ($1 < 1 || $2 != "true") {unready = 1} NR > 1 {n += $3} END {exit unready || n != want}'; }

# start_small_mesh SLOTS WORK: starts 2 nodes in each of 4 zones, one with an upstream of stock and one
# with an upstream of orders, and waits until requests are served.
start_small_mesh() {
	local z
	for z in 1 2 3 4; do
		start_node "z$z-1" "${ZONES[$((z - 1))]}" "127.$BASE.$z.1"
		start_upstream "z$z-1" "127.$BASE.$z.1" stock v1 --slots "$1" --work "$2" --ledger "$RUN/l$z-1"
		start_node "z$z-2" "${ZONES[$((z - 1))]}" "127.$BASE.$z.2"
		start_upstream "z$z-2" "127.$BASE.$z.2" orders v1 --slots "$1" --work "$2" --ledger "$RUN/l$z-2"
	done
	ctl publish examples/iblee/inventory.json examples/iblee/rules.json >/dev/null
	wait_for 15 nodes_ready 8
	wait_for 25 orders_served
	sleep 3 # until the slow start of the upstreams ends
}
# orders_served: whether ten orders are served. That needs the seats of the claim holders, which a new
# mesh assigns within 15 s.
orders_served() {
	echo "$ORDER" >"$RUN/order.json"
	"$BIN/celeryload" run --mix "$RUN/order.json" --rate 20 --duration 500ms --resends 0 --prefix "w$SECONDS-" \
		--report "$RUN/order-report.json" $(printf -- '--target %s ' "${TARGETS[@]}") &&
		grep -q '"orders_ok": 10' "$RUN/order-report.json"
}
ZONES=(vittoria ragusa comiso pachino)
LOOKUP='[{"service": "stock", "method": "GET", "path": "/stock/a", "weight": 1}]'
ORDER='[{"service": "orders", "method": "POST", "path": "/orders", "weight": 1, "keyed": true}]'
MIXED='[{"service": "stock", "method": "GET", "path": "/stock/a", "weight": 4}, {"service": "orders", "method": "POST", "path": "/orders", "weight": 1, "keyed": true}]'

# measure_added_latency NAME MIX RATE HOST [options]: measures the latency that the mesh adds to requests
# through one node, against direct requests to the upstreams on host HOST of each zone.
measure_added_latency() {
	local name=$1 rate=$3 host=$4
	echo "$2" >"$RUN/mix.json"
	shift 4
	"$BIN/celeryload" compare --name "$name" --mix "$RUN/mix.json" --rate "$rate" --duration 10s --prefix "$name" \
		--target "127.$BASE.1.1:8080" $(for z in 1 2 3 4; do echo "--direct 127.$BASE.$z.$host:8000"; done) "$@"
}

if selected latency; then
	begin_run 21
	start_small_mesh 200 0s
	measure_added_latency added_latency "$LOOKUP" 200 1
	measure_added_latency added_latency_2000 "$LOOKUP" 2000 1 $(printf -- '--admin %s ' "${NODES[@]}")
	measure_added_latency claimed_added_latency "$ORDER" 200 2
	end_run
fi

if selected zone; then
	begin_run 22
	start_small_mesh 10 20ms
	echo "$MIXED" >"$RUN/mix.json"
	# 4 upstreams with 10 slots and 20 ms per request serve 2000 lookups/s, and 4 of 5 requests are
	# lookups: at 1750 requests/s their load is 70%, and that of the three left without the zone 93%.
	"$BIN/celeryload" run --mix "$RUN/mix.json" --rate "${ZONE_RATE:-1750}" --duration 16s --results zone_move --report "$RUN/zone.json" \
		--plot "$OUT/zone.png" --node "${NODES[0]}" $(printf -- '--target %s ' "${TARGETS[@]}") \
		$(for f in "$RUN"/l*; do echo "--ledger $f"; done) &
	load_pid=$!
	sleep 4
	ctl zone out comiso >/dev/null
	sleep 5
	ctl zone in comiso >/dev/null
	wait "$load_pid"
	end_run
fi

# measure_overload FACTOR: measures the goodput at FACTOR times the capacity, with and without the mesh.
measure_overload() {
	local rate=$((800 * $1)) upstreams
	upstreams=$(for z in 1 2 3 4; do echo "--target 127.$BASE.$z.1:8000"; done)
	for path in mesh direct; do
		targets=$upstreams
		[ "$path" = direct ] || targets=$(printf -- '--target %s ' "${TARGETS[@]}")
		"$BIN/celeryload" run --mix "$RUN/mix.json" --rate "$rate" --duration 6s --call-timeout 500ms \
			--report "$RUN/$path.json" --goodput "goodput_$1x_$path" --capacity 800 $targets
		sleep 1
	done
}
if selected overload; then
	begin_run 23
	start_small_mesh 10 50ms
	echo "$LOOKUP" >"$RUN/mix.json" # 4 upstreams with 10 slots and 50 ms per request serve 800 requests/s
	measure_overload 2
	measure_overload 5
	end_run
fi

if selected control; then
	for size in ${SIZES:-16 64 200}; do
		begin_run $((30 + size % 100))
		for ((i = 0; i < size; i++)); do
			start_node "n$i" "${ZONES[$((i % 4))]}" "127.$BASE.$((i % 4 + 1)).$((i / 4 + 1))"
		done
		ctl publish examples/iblee/inventory.json examples/iblee/rules.json >/dev/null
		if wait_for 40 nodes_ready "$size"; then
			sleep 3
			"$BIN/celeryload" control --duration 5s --platform "$PLATFORM" --node "${NODES[0]}" --suffix "_at_rest_$size"
			"$BIN/celeryload" converge --platform "$PLATFORM" --node "${NODES[0]}" --zone comiso --name "convergence_$size" --changes 16 --interval 250ms &
			"$BIN/celeryload" control --duration 4s --platform "$PLATFORM" --node "${NODES[0]}" --suffix "_publishing_$size"
			wait $!
		fi
		end_run
	done
fi

if selected moves; then
	CELERYBANK_BENCH=1 go test -v -count=1 -run 'Bench' ./internal/rollout 2>/dev/null | grep '^{' || true
fi
