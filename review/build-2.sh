#!/bin/sh
# Builds the program that plays the scripted cases of the second review, with its stand-ins of the
# platform, the runners and the callers. The build of the deploy file comes first.
set -e
cd "$(dirname "$0")/.."
go build -o review/bin/drive2 ./review/drive2
