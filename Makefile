# Runs from a fresh clone on a machine with Python 3.11, pip and a package registry.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test format lint types unit bench clean

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --constraint constraints.txt --editable '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/redwingswitch-standin demo
	$(BIN)/redwingswitch-standin steering_demo

test: format lint types unit

format: $(STAMP)
	$(BIN)/black --check --quiet src tests benchmarks examples

lint: $(STAMP)
	$(BIN)/ruff check --quiet src tests benchmarks examples

types: $(STAMP)
	$(BIN)/mypy

unit: $(STAMP)
	$(BIN)/python -m pytest

bench: $(STAMP)
	$(BIN)/python -m benchmarks.run_all

clean:
	rm -rf $(VENV)
