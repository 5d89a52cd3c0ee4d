#!/bin/sh
# Builds the stand-ins of all cases into review/out; needs the JDK alone.
set -e
cd "$(dirname "$0")"
rm -rf out
mkdir -p out/standin
javac -d out/standin standin/*.java
for case in [0-9]*; do
    mkdir -p "out/$case"
    javac -cp out/standin -d "out/$case" "$case"/*.java
done
