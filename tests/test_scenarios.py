"""Runs all scenarios; each feature file covers one guarantee of the system."""

from pytest_bdd import scenarios

scenarios("scenarios")
