#!/bin/bash
# Builds the stand-ins of the scripts in review/11 and later.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standins-3/Cargo.toml --target-dir target/standins-3
