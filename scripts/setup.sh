#!/usr/bin/env bash
# Installs the Debian packages of packages.txt that are missing.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t missing < <(while read -r package; do
    dpkg-query -W -f '${Status}\n' "$package" 2>/dev/null | grep -q 'ok installed' || echo "$package"
done < packages.txt)
[ "${#missing[@]}" -eq 0 ] && exit 0
as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
echo "installing: ${missing[*]}"
"${as_root[@]}" apt-get update -qq
"${as_root[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" > /dev/null
