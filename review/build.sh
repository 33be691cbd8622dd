#!/bin/sh
# Builds the stand-ins that the scripts start: the project's own stand-in for the platform's store.
# The endpoints and clients are plain scripts in review/lib, which need no build.
set -e
cd "$(dirname "$0")/.."
npm run --silent build
