#!/usr/bin/env bash
. "$(dirname "$0")/../common-2/run.sh" "$(cd "$(dirname "$0")" && pwd)"
