#!/bin/bash
# Tests .ci/run_tests on generated build folders with passing and failing tests.
# usage: run_tests_test.sh REPOSITORY
set -uo pipefail
run_tests=$1/.ci/run_tests
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
wrong=0

# Generates a ctest file from pairs of arguments: a test name and the command that it runs.
made_tests() {
  : > "$folder/CTestTestfile.cmake"
  while [ $# -gt 0 ]; do
    echo "add_test([=[$1]=] \"$2\")" >> "$folder/CTestTestfile.cmake"
    shift 2
  done
}

# Runs the script and checks its exit code, its last line, and that a line of its output matches a pattern.
expect() {
  local name=$1 code=$2 last=$3 line=$4
  shift 4
  "$run_tests" "$folder" --list "$folder/list" --jobs 2 "$@" > "$folder/output" 2>&1
  local seen=$?
  if [ "$seen" -ne "$code" ] || [ "$(tail -n 1 "$folder/output")" != "$last" ] || ! grep -qE "$line" "$folder/output"; then
    echo "FAILED: $name (exit $seen, expected $code; last line \"$last\"; a line like \"$line\")"
    cat "$folder/output"
    wrong=1
  else
    echo "passed: $name"
  fi
}

made_tests Good.one /bin/true Bad.one /bin/false
: > "$folder/list"
expect "a failing test fails the run" 1 "1 passed, 1 failed" "Bad.one .*Failed"

printf '# reasons\nBad.one  # seen by the made-up run 1\n' > "$folder/list"
expect "a listed test may fail, runs and is printed" 0 "1 passed, 0 failed" "Bad.one .*Failed"

printf 'Good.one\nBad.one\n' > "$folder/list"
expect "nothing left to decide is a failure" 1 "0 passed, 1 failed" "Good.one .*Passed"

made_tests Good.one /bin/true Good.two /bin/true
printf 'Good.two\n' > "$folder/list"
expect "a listed test that passes is told" 0 "1 passed, 0 failed" "Passes now, take it off the list: .*Good.two"

made_tests Good.one /bin/true Bad.one /bin/false Bad.one.more /bin/false BadXone /bin/false
printf 'Bad.one\n' > "$folder/list"
expect "only the whole name is listed" 1 "1 passed, 2 failed" "BadXone .*Failed"

made_tests Good.one /bin/true 'Kind/Bad.one/0  # GetParam() = 0' /bin/false
printf 'Kind/Bad.one/0\n' > "$folder/list"
expect "names of parametrised tests" 0 "1 passed, 0 failed" "Kind/Bad.one/0 .*Failed"

made_tests Good.one /bin/true Long.one /bin/false
: > "$folder/list"
expect "what is excepted does not run" 0 "1 passed, 0 failed" "Good.one .*Passed" --except '^Long'

made_tests Good.one /bin/true
printf 'Gone.test\n' > "$folder/list"
expect "a listed test that this build lacks" 0 "1 passed, 0 failed" "Good.one .*Passed"

exit $wrong
