#!/bin/sh
# Exits with 1 if the rule is broken, 0 if it holds, 2 if the case can't run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
[ -x "$root/target/azurespan" ] && [ -x "$root/review/bin/rig" ] || { echo "build the deploy file and run review/build.sh first"; exit 2; }
exec "$root/review/bin/rig" -case leaving -root "$root" -dir "$here"
