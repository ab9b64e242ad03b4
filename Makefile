# Everything runs in .venv, with the locked versions of requirements*.txt.
PYTHON ?= python3
BIN := .venv/bin
STAMP := .venv/.installed
PIP := $(BIN)/pip --disable-pip-version-check --quiet
BINARY := dist/bayglade
# They measure the memory of processes, one test after the other.
CROWDS := tests/crowds
KNOWN_RED := { test ! -f KNOWN-RED.txt || sed 's/,.*//; s/^/--deselect=/' KNOWN-RED.txt; } | tr '\n' '\0'
SOURCES := $(shell find bayglade -name '*.py')

.PHONY: setup demo check test binary bench soak clean

setup: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv .venv
	$(PIP) install --requirement requirements-dev.txt
	$(PIP) install --no-deps --no-build-isolation --editable .
	touch $(STAMP)

demo: setup  ## the main job, by itself
	$(BIN)/python -m standins.demo

check: setup  ## format, lint, types
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

test: setup binary  ## all tests
	@test ! -f KNOWN-RED.txt || { echo "known red, passed over:"; cat KNOWN-RED.txt; }
	$(KNOWN_RED) | xargs -0 $(BIN)/python -m pytest --ignore=$(CROWDS)
	$(KNOWN_RED) | xargs -0 $(BIN)/python -m pytest -n 0 $(CROWDS)

binary: setup $(BINARY)  ## the program as one file

$(BINARY): $(SOURCES) requirements.txt pyproject.toml $(STAMP)
	rm -rf build/site
	mkdir -p dist
	$(PIP) install --no-deps --target build/site --requirement requirements.txt
	$(PIP) install --no-deps --no-build-isolation --target build/site .
	$(BIN)/shiv --site-packages build/site --console-script bayglade --output-file $(BINARY)

bench: setup  ## slopes for docs/CAPACITY.md and comparisons of policies
	$(BIN)/python -m benches.slopes
	$(BIN)/python -m benches.policies

SEED ?= 1
SEEDS ?= 1
SECONDS ?= 20

soak: setup  ## daemons under random faults, by seed; see docs/design/soak.md
	$(BIN)/python -m soak --seed $(SEED) --seeds $(SEEDS) --seconds $(SECONDS)

clean:
	rm -rf .venv dist build
