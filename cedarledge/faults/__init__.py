"""Fault injection into single processes by preload libraries: system call failures and wall clock steps."""
