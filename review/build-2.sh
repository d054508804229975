#!/bin/sh
# Builds the stand-ins that the scripts of this review start.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/standins-2
