#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 (plain Java, no dependency) into review/rig-2/out.
set -eu
cd "$(dirname "$0")/rig-2"
rm -rf out
mkdir -p out
javac -Xlint:all -encoding UTF-8 -d out src/*.java
