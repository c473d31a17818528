#!/usr/bin/env bash
folder="$(dirname "$0")"
exec "$folder/../play.sh" budget "$folder"
