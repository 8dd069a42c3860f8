# What a newcomer types: `make demo`, `make test`. VENV may name another
# virtual environment that already holds requirements.lock.
VENV ?= .venv
PYTHON ?= python3
PARTS := core entry control daemon client
empty :=
space := $(empty) $(empty)
# The sources of this tree go before whatever the environment has installed.
export PYTHONPATH := $(subst $(space),:,$(foreach p,$(PARTS),$(CURDIR)/packages/cranberryfield-$(p)/src)):$(CURDIR)/platform/src:$(CURDIR)
RUN := $(VENV)/bin/python

.PHONY: setup format lint test demo local docs matrix bench

# Only this tree's own environment is set up; one that VENV names is used as it
# is, since an editable install would point it at this tree.
ifeq ($(VENV),.venv)
setup: $(VENV)/.cranberryfield-ready
else
setup:
	test -x $(RUN)
endif

$(VENV)/.cranberryfield-ready: requirements.lock $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	test -x $(RUN) || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q -r requirements.lock
	$(VENV)/bin/pip install -q --no-deps --no-build-isolation $(foreach p,$(PARTS),-e packages/cranberryfield-$(p)) -e platform
	touch $@

format: setup
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

test: lint
	$(RUN) -m pytest

demo: setup
	$(RUN) -m standins.demo

# A small group to try requests and the client on, until Ctrl-C.
local: setup
	$(RUN) -m standins.local

# Writes the pages that are generated from the code; a test compares them.
docs: setup
	$(RUN) -m cranberryfield.core.operators.reference > docs/operators/settings-reference.md

matrix: setup
	$(RUN) -m tests.matrix

bench: setup
	$(RUN) -m bench
