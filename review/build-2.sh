#!/bin/sh
# Builds the stand-ins of the second review's cases into review/out-2; needs the JDK alone.
set -e
cd "$(dirname "$0")"
rm -rf out-2
mkdir -p out-2/standin
echo '*' > out-2/.gitignore
javac -d out-2/standin standin-2/*.java
for case in 6 7 8 9 10; do
    if [ -d "$case" ]; then
        mkdir -p "out-2/$case"
        javac -cp out-2/standin -d "out-2/$case" "$case"/*.java
    fi
done
