#!/bin/sh
# Runs one of the scripts of faults that are no cases: run.sh NAME. Exit status and TROUBLE=0 as for the cases.
folder=$(CDPATH= cd -- "$(dirname -- "$0")" && pwd) || exit 2
root=$(CDPATH= cd -- "$folder/../.." && pwd) || exit 2
temp=$(mktemp -d) || exit 2
trap 'rm -rf "$temp"' EXIT
cd "$root" || exit 2
[ -f "target/review/$1.class" ] || { echo "run review/build.sh first"; exit 2; }
java -Xmx256m -cp target/review "$1" "$root" "$folder" "$temp"
