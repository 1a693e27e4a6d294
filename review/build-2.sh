#!/bin/sh
# Builds the stand-ins that the scripts of the second review (6 to 10) start, into target/review. The programs of the mesh
# themselves are built by the command of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
exec "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread review/cases-2.cpp -o target/review/cases-2
