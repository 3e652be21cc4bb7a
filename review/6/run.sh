#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays the
# case without its disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/drive2 ] && [ -x target/cranberrywalk ] || exit 2
timeout 115 review/bin/drive2 crash review/6
status=$?
[ $status -le 1 ] || exit 2
exit $status
