#!/bin/sh
# Plays the case. TROUBLE=0 plays it without its disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/drive2 ] && [ -x target/cranberrywalk ] || exit 2
exec target/drive2 crash review/6
