#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x review/bin/drive ] && [ -x target/cranberrywalk ] || exit 2
timeout 115 review/bin/drive -case lateheartbeat -program target/cranberrywalk -record "$folder/record.txt"
status=$?
[ $status -le 1 ] || exit 2
exit $status
