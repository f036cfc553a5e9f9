#!/bin/sh
# Runs the case after the deployment's build and review/build-2.sh: 1 if the rule was broken, 0 if it held, 2 if it
# could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -f "$root/router/target/stagepier.jar" ] && [ -x "$root/review/rig-2/out/hold" ] || exit 2
exec "$root/review/rig-2/out/hold" java -Xmx512m -cp "$root/review/rig-2/out" BanAcrossProcesses "$root" "$here/record.txt"
