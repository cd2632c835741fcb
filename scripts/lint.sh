#!/usr/bin/env bash
# Checks formatting, the include graph and clang-tidy. "--fix-format" rewrites the formatting.
set -uo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.hpp' | grep -v '_generated\.h')
if [ "${1:-}" = --fix-format ]; then
  clang-format -i "${sources[@]}"
fi
status=0
clang-format --dry-run -Werror "${sources[@]}" || status=1
python3 scripts/check_includes.py || status=1
cmake -S . -B build -G Ninja > /dev/null || exit 1
printf '%s\n' "${sources[@]}" | grep '\.cpp$' |
  xargs -P "$(nproc)" -n 2 clang-tidy -p build --quiet --extra-arg=-Wno-unknown-warning-option 2> >(grep -vE 'warnings? generated|warnings? treated|^Suppressed|^Use -header' >&2) || status=1
exit $status
