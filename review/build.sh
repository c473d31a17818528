#!/usr/bin/env bash
# Builds the stand-ins that the cases start. Needs no network: the crate has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/standins"
cargo build --release --offline --locked
