#!/usr/bin/env bash
# A zone is evacuated while the entry is cut off from the store, and its workers go on being given tasks.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
folder="$(mktemp -d)" || exit 2
trap 'rm -rf "$folder"' EXIT
"$root/target/review-2/case" evacuate "$root" "$folder" "$here/record.txt"
status=$?
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
