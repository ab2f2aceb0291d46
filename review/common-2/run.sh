# Runs the case in $case_folder; sourced by its run.sh.
set -u
number=$(basename "$case_folder")
cd "$case_folder/../.." || exit 2
if [ ! -f target/gatefront.jar ] || [ ! -f "target/review-2/RunCase$number.class" ]; then
  echo "build the project by the build line of deploy/balancer.toml, then run review/build-2.sh" >&2
  exit 2
fi
CASE=$case_folder
WORK=$(mktemp -d) || exit 2
export CASE WORK
exec java -Xmx512m -Xss512k -cp target/review-2 "RunCase$number"
