# Every target sets up its own virtual environment; only Python and make are needed.
VENV ?= .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: setup lint format test demo bench measure slopes soak lock clean

setup: $(STAMP)

$(STAMP): pyproject.toml constraints.txt
	python3 -m venv $(VENV)
	$(PY) -m pip install -q --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $(STAMP)

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: setup
	$(VENV)/bin/ruff check --fix .
	$(VENV)/bin/ruff format .

test: lint
	$(PY) -m tests.run

demo: setup
	$(PY) -m tools.demo

bench: setup
	$(PY) -m tools.bench

measure: setup
	@$(PY) -m tools.measure

slopes: setup
	@$(PY) -m tools.slopes

SEED ?= 1
soak: setup
	@$(PY) -m tools.soak --seed $(SEED)

lock: setup
	$(PY) -m pip list --format=freeze --exclude pip --exclude setuptools \
	  --exclude persimmonspoke > constraints.txt

clean:
	rm -rf $(VENV) build .ruff_cache
