#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(CDPATH= cd -- "$(dirname -- "$0")" && pwd) || exit 2
root=$(CDPATH= cd -- "$folder/../.." && pwd) || exit 2
temp=$(mktemp -d) || exit 2
trap 'rm -rf "$temp"' EXIT
cd "$root" || exit 2
[ -f target/review/SlowReaders.class ] || { echo "run review/build.sh first"; exit 2; }
java -Xmx256m -cp target/review SlowReaders "$root" "$folder" "$temp"
