#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into review/rig-2/out: plain Java and one program in C, without a dependency.
set -eu
cd "$(dirname "$0")/rig-2"
rm -rf out
mkdir -p out
javac -Xlint:all -encoding UTF-8 -d out src/*.java
cc -O1 -Wall -o out/hold src/hold.c
