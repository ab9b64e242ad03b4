"""The administration API for operators, its client, and the operators' commands."""
