# Runs the case whose folder is $1; sourced by its run.sh. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. TROUBLE=0 leaves out the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
case_number=$(basename "$1")
if [ ! -f target/gatefront.jar ] || [ ! -f "target/review-2/RunCase$case_number.class" ]; then
  echo "build the project by the build line of deploy/balancer.toml, then run review/build-2.sh" >&2
  exit 2
fi
CASE="$PWD/review/$case_number"
WORK=$(mktemp -d) || exit 2
export CASE WORK
exec java -Xmx512m -Xss512k -cp target/review-2 "RunCase$case_number"
