VENV ?= .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: test lint format demo measure history matrix slopes explore soak

$(STAMP): requirements.lock
	test -x $(PYTHON) || python3.11 -m venv $(VENV) || python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements.lock
	touch $(STAMP)

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

test: $(STAMP) lint
	$(PYTHON) -m tests.run $(ARGS)

demo: $(STAMP)
	@$(PYTHON) -m pomelograde.standins demo $(ARGS)

measure: $(STAMP)
	$(PYTHON) -m measure measures $(if $(KEYS),--keys $(KEYS)) $(if $(SECONDS),--seconds $(SECONDS)) $(ARGS)

history: $(STAMP)
	$(PYTHON) -m measure history --seed $(or $(SEED),1) $(ARGS)

matrix: $(STAMP)
	$(PYTHON) -m measure matrix $(ARGS)

slopes: $(STAMP)
	$(PYTHON) -m measure slopes $(ARGS)

explore: $(STAMP)
	$(PYTHON) -m measure explore $(ARGS)

soak: $(STAMP)
	$(PYTHON) -m soak $(if $(SEED),--seed $(SEED)) $(if $(SEEDS),--seeds $(SEEDS)) $(ARGS)
