# The front door of the project: every target installs what it needs.
# VENV may name an existing environment, for example one shared by worktrees.

VENV ?= .venv
LIBS := $(wildcard libs/*)
STAMP := $(VENV)/.installed-$(shell cat requirements.lock libs/*/pyproject.toml | cksum | cut -d' ' -f1)
BIN := $(VENV)/bin

empty :=
space := $(empty) $(empty)
# The tree's own sources come before those that the environment was installed from.
export PYTHONPATH := $(subst $(space),:,$(abspath $(LIBS)))

.PHONY: help install demo test check format lint imports bench fuzz clean

help:
	@echo "make demo    overload one mesh on loopback and print what its callers saw"
	@echo "make test    run the tests"
	@echo "make check   format check, lint, import rules and tests, as in CI"
	@echo "make format  rewrite the sources in the project's format"
	@echo "make bench   run the measurements listed in docs/measurements.md"
	@echo "make fuzz    run the property tests with many more examples"

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

bench: install
	$(BIN)/mimosaloom bench latency
	$(BIN)/mimosaloom bench overload

fuzz: install
	$(BIN)/python -m pytest --hypothesis-profile=long -m fuzz

clean:
	rm -rf $(VENV) .pytest_cache .ruff_cache .hypothesis
