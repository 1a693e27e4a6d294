#!/bin/sh
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../stage/run_case.sh" "$here" late-beat-after-signing-off
