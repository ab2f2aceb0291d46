#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, after the build line of deploy/balancer.toml. Needs the JDK alone.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac --release 17 -encoding UTF-8 -Xlint:all -Werror -d target/review-2 review/common-2/*.java review/{6,7,8,9,10}/*.java
