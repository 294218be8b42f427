#!/bin/bash
# Builds the stand-ins of the cases 4 to 8 into target/review-2/, after the build of the deploy file. Needs no network and no further package.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
# The libraries are those that the deploy file's build has linked the program with.
libraries=$(sed 's/.*libpaddlepier_core\.a//' target/CMakeFiles/paddlepier.dir/link.txt)
# shellcheck disable=SC2086
"${CXX:-c++}" -std=c++20 -O1 -I . review/standins-2/servers.cpp target/libpaddlepier_core.a $libraries -pthread -o target/review-2/servers
echo "built target/review-2/servers"
