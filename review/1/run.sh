#!/usr/bin/env bash
folder="$(dirname "$0")"
exec "$folder/../play.sh" second-copy "$folder"
