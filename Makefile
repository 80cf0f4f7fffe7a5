VENV := .venv
PY := $(VENV)/bin/python

.PHONY: env test lint format demo bench capacity soak

$(VENV)/installed: requirements.lock
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check -r requirements.lock
	touch $@

env: $(VENV)/installed

test: env
	$(PY) -m tools.run_tests

lint: env
	$(PY) -m black --check --quiet .
	$(PY) -m ruff check --no-cache .

format: env
	$(PY) -m black --quiet .
	$(PY) -m ruff check --no-cache --fix .

demo: env
	$(PY) -m demo

bench: env
	$(PY) -m bench $(if $(CASES),--cases '$(CASES)')

soak: env
	$(PY) -m soak --seeds $(or $(SEEDS),5)

capacity: env
	$(PY) -m bench.capacity
