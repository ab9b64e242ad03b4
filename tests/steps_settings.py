"""The words of the scenarios about settings."""
