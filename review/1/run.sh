#!/bin/sh
# 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruptions out.
# VARIANT=plain and VARIANT=away play the other two orders of events that claim.txt names.
cd "$(dirname "$0")" || exit 2
here=$(pwd)
[ -d ../out/standin ] && [ -f ../../target/rowanmoor.jar ] || { echo "not built"; exit 2; }
main=Case
[ "$VARIANT" = away ] && main=Away
exec java -Xmx256m -cp "../out/standin:../out/$(basename "$here")" $main ../.. record.txt
