#!/bin/sh
# Runs one of the scripts of faults that are no cases: run.sh NAME. Exit status and TROUBLE=0 as for the cases.
folder=$(CDPATH= cd -- "$(dirname -- "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
if [ ! -f target/gatefront.jar ] || [ ! -f "target/review-2/${1:-none}.class" ]; then
  echo "build the project by the build line of deploy/balancer.toml, then run review/build-2.sh; then run.sh NAME" >&2
  exit 2
fi
CASE=$folder
WORK=$(mktemp -d) || exit 2
export CASE WORK
exec java -Xmx512m -Xss512k -cp target/review-2 "$1"
