#!/bin/bash
# Builds the stand-ins that the scripts start, into target/review. The project's own
# programs are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O2 -Wall -Wextra -Werror -pthread review/trial.cpp -o target/review/trial
