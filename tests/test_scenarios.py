"""All scenarios, one file for each thing that must always hold."""

from pytest_bdd import scenarios

scenarios("scenarios")
