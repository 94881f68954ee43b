"""The operators' configuration file, parsed and checked."""
