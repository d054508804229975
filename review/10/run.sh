#!/bin/sh
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 plays it without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
folder=$(mktemp -d) || exit 2
target/standins-2/release/case foreign "$here/record.txt" "$folder" &
case=$!
trap 'kill "$case" 2>/dev/null' INT TERM
wait "$case"
status=$?
# Hosts that are left over only if the case was ended from outside.
for file in "$folder"/*.pid; do
    [ -e "$file" ] && kill -9 "$(cat "$file")" 2>/dev/null
done
rm -rf "$folder"
[ "$status" -le 2 ] || status=2
exit "$status"
