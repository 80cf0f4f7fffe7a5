VENV := .venv
PY := $(VENV)/bin/python

.PHONY: env test lint format demo bench capacity

$(VENV)/installed: requirements.lock
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check -r requirements.lock
	touch $@

env: $(VENV)/installed

# The tests with whole fleets run beside the others, which takes half the time.
FLEET_TESTS := tests/daemon tests/cli tests/operators tests/docs
FLEET_LOG := $(VENV)/fleet-tests.log

test: env
	@$(PY) -m pytest $(FLEET_TESTS) > $(FLEET_LOG) 2>&1 & fleet=$$!; \
	$(PY) -m pytest $(addprefix --ignore=,$(FLEET_TESTS)); others=$$?; \
	wait $$fleet; code=$$?; cat $(FLEET_LOG); exit $$((others | code))

lint: env
	$(PY) -m black --check --quiet .
	$(PY) -m ruff check .

format: env
	$(PY) -m black --quiet .
	$(PY) -m ruff check --fix .

demo: env
	$(PY) -m demo

bench: env
	$(PY) -m bench $(if $(CASES),--cases '$(CASES)')

capacity: env
	$(PY) -m bench.capacity
