#!/bin/sh
# Compares variants on a site: bench.sh SITE SCENARIO...
# Results go to standard output, and as JSON to $OUT/<scenario>.json where OUT
# names a directory.
set -eu
cd "$(dirname "$0")/.."
. scripts/site.sh
site=$1
shift
site_open
site_start >/dev/null
for s in "$@"; do
	echo "== $(basename "$s" .json)"
	bin/catkin-load compare -scenario "$s" ${OUT:+-json "$OUT/$(basename "$s")"} 2>>"$run/load.log" ||
		{ tail -n 3 "$run/load.log" >&2; echo "$(basename "$s"): failed"; }
done
site_stop
