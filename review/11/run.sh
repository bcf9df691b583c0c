#!/usr/bin/env bash
# Two servers leave without saying so, and the store loses one answer to one gateway in between.
cd "$(dirname "$0")" || exit 2
[ -x ../standin-4/bin/standin-4 ] || { echo "run review/build-3.sh first" >&2; exit 2; }
exec ../standin-4/bin/standin-4 lost-removal "$(cd ../.. && pwd)" record.txt
