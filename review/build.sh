#!/bin/sh
# Builds the stand-ins and drivers of the scripted cases.
set -e
cd "$(dirname "$0")/.."
go build -o review/bin/drive ./review/drive
