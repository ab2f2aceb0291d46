#!/bin/sh
# Builds the stand-ins of the review's cases. Run it after the build line of deploy/balancer.toml.
set -eu
root=$(CDPATH= cd -- "$(dirname -- "$0")/.." && pwd)
out="$root/target/review"
mkdir -p "$out"
javac -nowarn -encoding UTF-8 -d "$out" "$root"/review/common/*.java
for folder in "$root"/review/[0-9]* "$root"/review/others; do
    [ -d "$folder" ] || continue
    javac -nowarn -encoding UTF-8 -cp "$out" -d "$out" "$folder"/*.java
done
