# Runs from a fresh clone on a machine with Python 3.11, pip and a package registry.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

SOAK_SEEDS ?= 1-8

.PHONY: demo test format lint types unit bench soak clean

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

# Runs every seed that ever failed, then SOAK_SEEDS; about 4 minutes. Not part of `make test`.
soak: $(STAMP)
	$(BIN)/python -m tests.soak --regressions --seconds=15 --hosts=4
	$(BIN)/python -m tests.soak --seeds=$(SOAK_SEEDS) --seconds=15 --hosts=4

clean:
	rm -rf $(VENV)
