# Development tasks. Targets that run the project's code first install what they need.
# VENV may name an existing environment, for example one shared by worktrees.

VENV ?= .venv
LIBS := $(wildcard libs/*) platform
STAMP := $(VENV)/.installed-$(shell cat requirements.lock libs/*/pyproject.toml platform/pyproject.toml | cksum | cut -d' ' -f1)
BIN := $(VENV)/bin

empty :=
space := $(empty) $(empty)
# Imports resolve to the sources of this working tree before those from which the
# environment was installed, which may be those of another worktree.
export PYTHONPATH := $(subst $(space),:,$(abspath $(LIBS)))

.PHONY: help install demo test check format lint imports scenarios soak measure capacity bench
.PHONY: fuzz types clean

help:
	@echo "make demo       overload one mesh on loopback and print what its callers saw"
	@echo "make test       run the tests"
	@echo "make check      run the format check, lint, import rules and tests, as in CI"
	@echo "make format     apply automatic lint fixes and format the sources"
	@echo "make scenarios  run the scenarios in scenarios/"
	@echo "make bench      run the latency and overload benchmarks and print the results"
	@echo "make soak       run soaks of real processes with random faults; options in SOAK"
	@echo "make measure    run the benchmarks behind docs/measured; needs an otherwise idle machine"
	@echo "make capacity   update the table in docs/CAPACITY.md from docs/measured"
	@echo "make types      run the type checker; not part of check, as it has known findings"
	@echo "make fuzz       run the property tests with many more examples"

install: $(STAMP)

$(STAMP):
	test -x $(BIN)/python || python3 -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --requirement requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation $(addprefix --editable ,$(LIBS))
	rm -f $(VENV)/.installed-*
	touch $@

demo: install
	$(BIN)/mimosaloom demo

test: install
	$(BIN)/python -m pytest

format: install
	$(BIN)/ruff check --quiet --fix .
	$(BIN)/ruff format .

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

imports: install
	$(BIN)/lint-imports --no-cache

check: lint imports test

scenarios: install
	$(BIN)/mimosaloom scenario run scenarios/*.feature

soak: install
	PYTHONPATH="$(PYTHONPATH):tests" $(BIN)/python -m soak $(SOAK)

measure: install
	mkdir -p docs/measured
	$(BIN)/mimosaloom bench latency --json | tail -n 1 > docs/measured/latency.json
	$(BIN)/mimosaloom bench control --json | tail -n 1 > docs/measured/control.json
	$(BIN)/mimosaloom bench replay --json | tail -n 1 > docs/measured/replay.json
	$(BIN)/mimosaloom bench decisions --json | tail -n 1 > docs/measured/decisions.json

capacity: install
	$(BIN)/python -m mimosaloom_bench.capacity docs/CAPACITY.md docs/measured

bench: install
	$(BIN)/mimosaloom bench latency
	$(BIN)/mimosaloom bench overload

fuzz: install
	$(BIN)/python -m pytest --hypothesis-profile=long -m fuzz

types: install
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --requirement requirements-tools.txt
	MYPYPATH="$$PYTHONPATH" $(BIN)/mypy --ignore-missing-imports --explicit-package-bases --cache-dir $(VENV)/mypy-cache $(wildcard libs/*/mimosaloom_*) platform/mimosaloom_platform

clean:
	rm -rf $(VENV) .pytest_cache .ruff_cache .hypothesis
