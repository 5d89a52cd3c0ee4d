#!/bin/sh
# Builds the stand-ins of the second review's cases into review/out-2; needs the JDK alone.
set -e
cd "$(dirname "$0")"
rm -rf out-2
mkdir -p out-2/standin
echo '*' > out-2/.gitignore
javac -d out-2/standin standin-2/*.java
for case in 6 7; do
    mkdir -p "out-2/$case"
    javac -d "out-2/$case" "$case"/*.java
done
