#!/bin/sh
# Plays case 10. TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0
# if it held, and 2 if the case could not run. The record is written to record.txt.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
standins=target/review-2/standins
if [ ! -x target/ebonywood ] || [ ! -x "$standins" ]; then
	echo "not run: build with the deploy file's command and review/build-2.sh first" >&2
	exit 2
fi
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec "$standins" -case 10 -trouble="$trouble" -program target/ebonywood -record "$folder/record.txt"
