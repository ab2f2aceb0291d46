#!/bin/sh
# Builds the cases 6 to 10, the scripts of others-2 and the stand-ins, after the build line of deploy/balancer.toml. Needs the JDK alone.
set -eu
root=$(CDPATH= cd -- "$(dirname -- "$0")/.." && pwd)
out="$root/target/review-2"
rm -rf "$out"
mkdir -p "$out"
javac --release 17 -encoding UTF-8 -Xlint:all -Werror -d "$out" "$root"/review/common-2/*.java "$root"/review/others-2/*.java \
    "$root"/review/6/*.java "$root"/review/7/*.java "$root"/review/8/*.java "$root"/review/9/*.java "$root"/review/10/*.java
