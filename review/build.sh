#!/bin/sh
# Builds the stand-ins of the scripts; needs no network.
set -eu
cd "$(dirname "$0")/standin"
GOFLAGS=-mod=mod GOWORK=off go build -o ../bin/standin .
