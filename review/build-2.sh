#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start beside the deploy file's program.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review/stand ./review/stand
