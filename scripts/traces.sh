#!/usr/bin/env bash
# Records traces of runs of the built programs in traces/. Arguments select some of: bad_route
# operators zone_outage. The expectations beside the traces are written by hand and stay unchanged.
set -u
cd "$(dirname "$0")/.."
PIDS=()
RUN=$(mktemp -d)
trap 'stop_all; rm -rf "$RUN"' EXIT
ZONES=(athens augusta savannah)
INVENTORY=examples/peachtree/inventory.json

# start_mesh: stops the previous mesh and starts a new one, with two nodes in each of three zones and
# job-board v1 on the first host of each zone.
start_mesh() {
	stop_all 2>/dev/null
	PIDS=() NODES=() TARGETS=()
	. scripts/fleet.sh
	REGION=georgia
	start_platform
	local z
	for z in 1 2 3; do
		start_node "n$z-1" "${ZONES[$((z - 1))]}" "127.$BASE.$z.1"
		start_node "n$z-2" "${ZONES[$((z - 1))]}" "127.$BASE.$z.2"
		start_upstream "n$z-1" "127.$BASE.$z.1" job-board v1 --slots 20
	done
	wait_for 10 ctl status
	ctl publish "$INVENTORY" examples/peachtree/rules.json
	sleep 6
}
# start_new_version [options]: starts job-board v2 on the second host of each zone, and writes the rules
# for its rollout.
start_new_version() {
	local z
	for z in 1 2 3; do start_upstream "n$z-2" "127.$BASE.$z.2" job-board v2 --slots 20 "$@"; done
	sleep 3
	printf '{"moves": [{"service": "job-board", "to": "v2", "by": "%s"}]}\n' "$(date -u -d "+40 seconds" +%Y-%m-%dT%H:%M:%SZ)" >"$RUN/rules.json"
}
# send_requests DURATION: sends load through all nodes.
send_requests() {
	"$BIN/celeryload" run --mix "$RUN/mix.json" --rate 150 --duration "$1" --report "$RUN/report.json" $(printf -- '--target %s ' "${TARGETS[@]}")
}
# record_trace NAME: records the trace traces/NAME.jsonl.
record_trace() { "$BIN/celeryload" record --platform "$PLATFORM" --node "${NODES[0]}" --out "traces/$1.jsonl"; }
# set_faults JSON: sets the faults of the log service; {} ends them.
set_faults() { curl -s -X POST -d "$1" "http://$PLATFORM/control"; }
cat >"$RUN/mix.json" <<-EOF
	[{"service": "job-board", "method": "GET", "path": "/jobs/today", "weight": 3}, {"service": "job-board", "method": "GET", "path": "/specs/fan-52", "weight": 1}]
EOF

case " ${*:-bad_route operators zone_outage} " in *" bad_route "*)
	start_mesh
	start_new_version --fail-share 1 --fail-route /specs
	send_requests 14s &
	ctl publish "$INVENTORY" "$RUN/rules.json"
	wait $!
	record_trace bad_route
	;;
esac
case " ${*:-bad_route operators zone_outage} " in *" operators "*)
	start_mesh
	set_faults '{"delay_ns": 300000000}'
	ctl zone out athens &
	first_pid=$!
	ctl zone out athens
	wait $first_pid
	set_faults '{}'
	ctl zone in athens
	sleep 1
	record_trace operators_race
	;;
esac
case " ${*:-bad_route operators zone_outage} " in *" zone_outage "*)
	start_mesh
	set_faults '{"outage": true}'
	sleep 3
	ctl zone out savannah --via-node
	sleep 2
	set_faults '{}'
	sleep 8
	ctl zone in savannah
	sleep 2
	record_trace zone_in_outage
	;;
esac
