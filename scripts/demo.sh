#!/usr/bin/env bash
# Installs what is missing, builds, and runs the demo. Arguments are passed on, for example --keep.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/build.sh --quiet skylarkbridge
exec build/src/skylarkbridge/skylarkbridge demo "$@"
