# Functions that run a site's processes; sourced by the other scripts.
# They use: site (its name), and set: dir, run, pids, agent.

# site_open checks the site's name and prepares its run directory.
site_open() {
	dir=sites/$site
	if [ ! -d "$dir" ]; then
		echo "$0: unknown site $site: use one of: $(ls sites | tr '\n' ' ')" >&2
		exit 2
	fi
	run=$(mktemp -d)
	pids=''
	agent=$(value operator_address "$dir/agent-1.json")
	trap 'code=$?; site_stop; rm -rf "$run"; exit $code' EXIT
	trap 'exit 1' INT TERM
}

# value prints the text value of a key in a settings file.
value() {
	sed -n "s/.*\"$1\": \"\([^\"]*\)\".*/\1/p" "$2" | head -n 1
}

# site_start_one BINARY FILE starts one process. Entries run on $ENTRY_CPUS
# processors where that is set.
site_start_one() {
	cpus=${GOMAXPROCS:-}
	if [ "$1" = catkin-entry ]; then
		cpus=${ENTRY_CPUS:-$cpus}
	fi
	GOMAXPROCS=$cpus "bin/$1" -settings "$dir/$2.json" 2>"$run/$2.log" &
	pids="$! $pids"
}

# site_start starts every process and puts the site's document in force.
site_start() {
	site_start_one catkin-standin standin
	for f in "$dir"/entry-*.json; do
		i=$(basename "$f" .json | sed 's/entry-//')
		site_start_one catkin-entry "entry-$i"
		site_start_one catkin-agent "agent-$i"
	done
	bin/catkin-standin -settings "$dir/standin.json" -document >"$run/config.json"
	tries=0
	until bin/catkinctl -agent "$agent" plan -f "$run/config.json" >"$run/plan" 2>"$run/plan.err"; do
		tries=$((tries + 1))
		[ "$tries" -lt 100 ] || site_fail "no plan: $(cat "$run/plan.err")"
		sleep 0.1
	done
	cat "$run/plan"
	bin/catkinctl -agent "$agent" confirm "$(awk '$1 == "plan" {print $2; exit}' "$run/plan")" ||
		site_fail "the plan was not confirmed"
	for f in "$dir"/entry-*.json; do
		site_wait "$(value address "$f")"
	done
}

# site_wait ADDRESS waits until an entry answers lookups.
site_wait() {
	tries=0
	until bin/catkin-load ready -entry "$1" 2>/dev/null; do
		tries=$((tries + 1))
		[ "$tries" -lt 100 ] || site_fail "entry $1 has no configuration"
		sleep 0.1
	done
}

# site_stop ends every process in good order.
site_stop() {
	for p in $pids; do kill -TERM "$p" 2>/dev/null || true; done
	for p in $pids; do wait "$p" 2>/dev/null || true; done
	pids=''
}

# site_fail prints a reason and the logs, and exits.
site_fail() {
	echo "$0: $1" >&2
	cat "$run"/*.log >&2 || true
	exit 1
}
