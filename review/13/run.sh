#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/celerysidecar ] && [ -x target/standin-3 ] || exit 2
exec target/standin-3 unread review/13/record.txt
