PYTHON ?= python3.11
BIN := .venv/bin

.PHONY: environment test demo demo-platform bench capacity experiment generate soak days replay

environment: .venv/installed

.venv/installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $@

test: environment
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/python -m tools.docs --check
	$(BIN)/python -m pytest -n 4

demo: environment
	$(BIN)/python -m tools.demo

demo-platform: environment
	$(BIN)/python -m tools.demo_platform

bench: environment
	$(BIN)/python -m tools.bench

generate: environment
	$(BIN)/python -m grpc_tools.protoc -I . --python_out=. --pyi_out=. pimentolink/link.proto

capacity: environment
	$(BIN)/python -m tools.capacity

experiment: environment
	$(BIN)/python -m tools.experiment

replay: environment
	$(BIN)/python -m tools.replay

SEEDS ?= 50
FIRST ?= 1

soak: environment
	$(BIN)/python -m tests.soak --seeds $(SEEDS) --first $(FIRST)
	$(BIN)/python -m tests.soak_retries --seeds $(SEEDS) --first $(FIRST)
	$(BIN)/python -m tests.soak_configuration --seeds $(SEEDS) --first $(FIRST)
	$(BIN)/python -m tests.soak_refusals --seeds $(SEEDS) --first $(FIRST)
	$(BIN)/python -m tests.soak_parts --seeds $(SEEDS) --first $(FIRST)
	$(BIN)/python -m tests.soak_fullstop --seeds $(SEEDS) --first $(FIRST)
	$(BIN)/python -m tests.soak_claims --seeds $(SEEDS) --first $(FIRST)

JOBS ?= 3

days: environment
	$(BIN)/python -m tests.playdays --bench $(BENCH) --site $(SITE) --jobs $(JOBS)
