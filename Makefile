# Everything runs in .venv, with the locked versions of requirements.txt.
PYTHON ?= python3
BIN := .venv/bin
STAMP := .venv/.installed

.PHONY: setup demo check test binary bench clean

setup: $(STAMP)

$(STAMP): requirements.txt pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check --requirement requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation --editable .
	touch $(STAMP)

demo: setup  ## the main job, by itself
	$(BIN)/python -m standins.demo

check: setup  ## format, lint, types
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

test: setup  ## all tests
	$(BIN)/python -m pytest

clean:
	rm -rf .venv dist build
