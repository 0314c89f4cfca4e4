#!/bin/sh
# Runs a small site on loopback: demo.sh [-up] SITE
# Without -up it makes some load, prints a table and stops the site.
set -eu
cd "$(dirname "$0")/.."
. scripts/site.sh
up=0
if [ "${1:-}" = -up ]; then
	up=1
	shift
fi
site=${1:-ecuador}
site_open
site_start
if [ "$up" = 1 ]; then
	entry=$(value address "$dir/entry-1.json")
	service=$(sed -n 's/.*"name": "\([a-z]*\)", "first.*/\1/p' "$dir/standin.json" | head -n 1)
	echo "site $site is up"
	for f in "$dir"/entry-*.json; do echo "  entry for callers: $(value address "$f")"; done
	echo "  agent for operators: $agent"
	echo "  faults of upstreams: $(value control_address "$dir/standin.json")"
	echo "try: curl -i -H 'Host: $service' http://$entry/"
	echo "try: curl 'http://$entry/.catkin/lookup?service=$service'"
	echo "try: bin/catkinctl -agent $agent show"
	echo "press Ctrl-C to stop"
	wait
fi
bin/catkin-load run -scenario "$dir/load.json" || site_fail "the load broke a promise"
site_stop
echo "demo of $site: done"
