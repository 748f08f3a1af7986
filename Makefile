PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.stamp

.PHONY: setup test demo lint format binary clean

setup: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps -e .
	touch $(STAMP)

test: setup
	$(BIN)/python tests/run.py

demo: setup
	$(BIN)/currantmast experiment platform
	$(BIN)/currantmast experiment demo deployments/yanagawa

lint: setup
	$(BIN)/ruff check currantmast tests
	$(BIN)/flake8 currantmast tests

format: setup
	$(BIN)/ruff format currantmast tests

binary: setup
	rm -rf build/site dist && mkdir -p dist
	$(BIN)/pip install --quiet --disable-pip-version-check --no-build-isolation --target build/site -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps --target build/site .
	$(BIN)/shiv --site-packages build/site --compressed --root /tmp/currantmast -p '/usr/bin/env python3' -e currantmast.commands:main -o dist/currantmast
	rm -rf build

clean:
	rm -rf $(VENV) build dist
