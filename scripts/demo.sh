#!/usr/bin/env bash
# Starts the mesh of Reti d'Ombra Iblee on loopback, publishes its configuration and sends load.
# Meanwhile it rolls out a new version of one service, and takes an availability zone out and back in.
# Prints a summary and, on success, "demo: ok" as the last line. Takes less than a minute.
# LOAD is the duration of the load in seconds, RATE its requests per second. If KEEP is set, the
# directory with the logs is kept.
set -u
cd "$(dirname "$0")/.."
RUN=$(mktemp -d)
. scripts/fleet.sh
trap 'stop_all; [ -n "${KEEP:-}" ] || rm -rf "$RUN"' EXIT
fail() {
	echo "demo: failed: $*"
	exit 1
}
# progress MESSAGE...: prints a message with the seconds since the start.
progress() { printf "%3d s  %s\n" "$((SECONDS - STARTED))" "$*"; }
STARTED=$SECONDS
LOAD=${LOAD:-32}
RATE=${RATE:-400}

ZONES=(vittoria ragusa comiso pachino)
SERVICES=(stock orders cutting price-list)
start_platform
for z in 1 2 3 4; do
	for h in 1 2 3 4 5; do
		zone=${ZONES[$((z - 1))]} ip=127.$BASE.$z.$h
		start_node "$zone-$h" "$zone" "$ip"
		[ "$h" = 5 ] || start_upstream "$zone-$h" "$ip" "${SERVICES[$((h - 1))]}" v1 --slots 10 --work 2ms --ledger "$RUN/ledger"
	done
done
wait_for 10 ctl status || fail "the nodes did not respond within 10 s"
ctl publish examples/iblee/inventory.json examples/iblee/rules.json || fail "publishing the configuration"
# applied_by_all VERSION: whether all 20 nodes have applied this version or a newer one and are ready.
applied_by_all() { ctl status | awk -v v="$1" 'NR > 1 && $1 ~ /^[0-9]+$/ && $1 >= v && $2 == "true" {n += $3} END {exit n != 20}'; }
wait_for 15 applied_by_all 1 || fail "not all nodes applied the configuration within 15 s"
sleep 2.5 # until the slow start of the upstreams ends
progress "20 nodes and 16 upstreams are running in 4 availability zones; callers send $RATE requests per second"

"$BIN/celeryload" run --mix examples/iblee/mix.json --rate "$RATE" --duration "${LOAD}s" --report "$RUN/report.json" \
	--ledger "$RUN/ledger" $(printf -- '--target %s ' "${TARGETS[@]}") &
load_pid=$!
sleep 1
for z in 1 2 3 4; do start_upstream "${ZONES[$((z - 1))]}-v2" "127.$BASE.$z.5" stock v2 --slots 10 --work 2ms --ledger "$RUN/ledger"; done
sleep 2.5
by=$(date -u -d "+$((LOAD - 8)) seconds" +%Y-%m-%dT%H:%M:%SZ)
printf '{"moves": [{"service": "stock", "to": "v2", "by": "%s"}], "zones_out": []}\n' "$by" >"$RUN/rules.json"
ctl publish examples/iblee/inventory.json "$RUN/rules.json" || fail "publishing the rollout"
progress "published the rollout of stock v2, to complete by $by"
sleep 5
ctl zone out comiso || fail "taking the zone out"
progress "the availability zone comiso is out"
sleep 4
ctl zone in comiso || fail "bringing the zone in"
progress "the availability zone comiso is back in"
wait "$load_pid" || fail "sending load"
progress "the load has ended"
echo
"$BIN/celeryload" summary --report "$RUN/report.json" --platform "$PLATFORM" --node "${NODES[0]}" --move stock/v2 || fail "a promise was broken"
echo "demo: ok"
