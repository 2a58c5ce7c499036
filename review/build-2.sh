#!/bin/bash
# Builds the stand-ins of cases 6 to 10 with the standard library alone. The host is built by the deploy file.
set -eu
cd "$(dirname "$0")/lib-2"
mkdir -p target
rustc --edition 2021 -O -o target/harness harness.rs
