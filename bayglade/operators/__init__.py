"""The operators: the administration API and the commands on top of it."""
