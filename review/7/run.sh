#!/bin/sh
# Plays case 7; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the
# disruption. Needs the build of the deploy file and review/build-2.sh.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -f target/sablehinge.jar ] && [ -f target/review-2/review2/Unframed.class ] || { echo "not built"; exit 2; }
exec java -Xmx256m -XX:TieredStopAtLevel=1 -cp target/review-2 review2.Unframed "$here/record.txt"
