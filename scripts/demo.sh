#!/bin/sh
# Runs a small site on loopback: demo.sh [-up] SITE
# Without -up it makes some load, prints a table and stops the site.
set -eu
cd "$(dirname "$0")/.."
up=0
if [ "${1:-}" = -up ]; then
	up=1
	shift
fi
site=${1:-ecuador}
dir=sites/$site
if [ ! -d "$dir" ]; then
	echo "demo: unknown site $site: use one of: $(ls sites | tr '\n' ' ')" >&2
	exit 2
fi
case $site in
ecuador) base=21000 ;;
addis) base=22000 ;;
esac
run=$(mktemp -d)
pids=''

stop() {
	for p in $pids; do kill -TERM "$p" 2>/dev/null || true; done
	for p in $pids; do wait "$p" 2>/dev/null || true; done
	pids=''
}
fail() {
	echo "demo: $1" >&2
	cat "$run"/*.log >&2 || true
	exit 1
}
trap 'code=$?; stop; rm -rf "$run"; exit $code' EXIT
trap 'exit 1' INT TERM

start() {
	bin=$1
	file=$2
	"bin/$bin" -settings "$dir/$file.json" 2>"$run/$file.log" &
	pids="$! $pids"
}
start catkin-standin standin
for i in 1 2 3; do
	start catkin-entry "entry-$i"
	start catkin-agent "agent-$i"
done

agent=127.0.0.1:$((base + 14))
bin/catkin-standin -settings "$dir/standin.json" -document >"$run/config.json"
tries=0
until bin/catkinctl -agent "$agent" plan -f "$run/config.json" >"$run/plan" 2>"$run/plan.err"; do
	tries=$((tries + 1))
	[ "$tries" -lt 50 ] || fail "no plan: $(cat "$run/plan.err")"
	sleep 0.1
done
cat "$run/plan"
bin/catkinctl -agent "$agent" confirm "$(awk '$1 == "plan" {print $2; exit}' "$run/plan")" || fail "not confirmed"
sleep 2
if [ "$up" = 1 ]; then
	echo "site $site is up; entries: 127.0.0.1:$((base + 10)) 127.0.0.1:$((base + 20)) 127.0.0.1:$((base + 30)); operators: $agent"
	echo "try: curl -i -H 'Host: $(awk -F'"' '/"name": "[a-z]*", "first/ {print $4; exit}' "$dir/standin.json")' http://127.0.0.1:$((base + 10))/"
	echo "press Ctrl-C to stop"
	wait
fi
bin/catkin-load run -scenario "$dir/load.json" || fail "load failed"
stop
echo "demo of $site: done"
