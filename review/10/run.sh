#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
case_folder=$(CDPATH= cd -- "$(dirname -- "$0")" && pwd) || exit 2
. "$case_folder/../common-2/run.sh"
