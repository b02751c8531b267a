# Functions that start a mesh on loopback, to be sourced. Each host has the address
# 127.BASE.ZONE.HOST, with the number of its availability zone as the third octet.
# Expects RUN, the directory for settings and logs. BIN is the directory of the programs, REGION the
# region of the nodes. Sets BASE, PLATFORM (address of the log service), PIDS, NODES (admin addresses)
# and TARGETS (callers' addresses).

BIN=${BIN:-bin}
BASE=${BASE:-$((10 + $$ % 70))}
PIDS=()
NODES=()
TARGETS=()

# start_platform [options]: starts the log service in the first address range from BASE on that no
# other run on this machine uses, and sets BASE to it.
start_platform() {
	local tries pid
	for ((tries = 0; tries < 8; tries++)); do
		PLATFORM=127.$BASE.0.1:7700
		"$BIN/celerystandin" platform --listen "$PLATFORM" "$@" >"$RUN/platform.log" 2>&1 &
		pid=$!
		while kill -0 "$pid" 2>/dev/null; do
			if grep -q listening "$RUN/platform.log"; then
				PIDS+=("$pid")
				return
			fi
			sleep 0.05
		done
		BASE=$((BASE + 80))
		[ "$BASE" -lt 250 ] || BASE=$((BASE - 240))
	done
	echo "no free address range on loopback" >&2
	exit 1
}

# start_node NAME ZONE IP: starts the node of one host.
start_node() {
	cat >"$RUN/$1.json" <<-EOF
	{"name": "$1", "zone": "$2", "region": "${REGION:-sicily}",
	 "listen": {"callers": "$3:8080", "peers": "$3:7000", "admin": "$3:9000"},
	 "platform": {"address": "$PLATFORM"},
	 "seeds": ["127.$BASE.1.1:7000", "127.$BASE.2.1:7000"]}
	EOF
	"$BIN/celerybank" --settings "$RUN/$1.json" >>"$RUN/$1.log" 2>&1 &
	PIDS+=($!)
	eval "PID_node_${1//-/_}=$!"
	NODES+=("$3:9000")
	TARGETS+=("$3:8080")
}

# start_upstream NAME IP SERVICE VERSION [options]: starts the upstream of one host.
start_upstream() {
	local name=$1 ip=$2 service=$3 version=$4
	shift 4
	"$BIN/celerystandin" upstream --listen "$ip:8000" --node "$ip:9000" --service "$service" \
		--back-end-version "$version" "$@" >"$RUN/$name.up.log" 2>&1 &
	PIDS+=($!)
	eval "PID_up_${name//-/_}=$!"
}

# wait_for SECONDS COMMAND...: repeats the command until it succeeds; fails after SECONDS.
wait_for() {
	local deadline=$((SECONDS + $1))
	shift
	until "$@" >/dev/null 2>&1; do
		if [ "$SECONDS" -ge "$deadline" ]; then
			echo "timed out waiting for: $*" >&2
			return 1
		fi
		sleep 0.1
	done
}

# stop_all: stops the started processes and waits until they have ended.
stop_all() {
	for pid in "${PIDS[@]}"; do kill "$pid" 2>/dev/null; done
	for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null; done
}

# ctl ARGUMENTS...: runs celeryctl on the mesh.
ctl() { "$BIN/celeryctl" --platform "$PLATFORM" --node "${NODES[0]}" --node "${NODES[1]}" "$@"; }
