# Every target works on a fresh machine with Python 3.11 and make.
VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: demo test unit matrix guards soak scenarios format lint proto clean
.PHONY: capacity bench-hanbit bench-strathbeag idle-cost starts

$(STAMP): requirements.lock pyproject.toml
	python3.11 -m venv $(VENV) 2>/dev/null || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet -r requirements.lock
	$(PYTHON) -m pip install --quiet --no-deps --no-build-isolation -e . 2>/dev/null || $(PYTHON) -m pip install --quiet --no-deps -e .
	touch $(STAMP)

venv: $(STAMP)

demo: $(STAMP)
	$(PYTHON) -m catkincross.cli demo

test: $(STAMP)
	$(PYTHON) -m scenarios.run_tests

unit: $(STAMP)
	$(PYTHON) -m pytest

matrix: $(STAMP)
	$(PYTHON) -m scenarios.matrix

guards: $(STAMP)
	$(PYTHON) -m scenarios.guard_runs

soak: $(STAMP)
	$(PYTHON) -m scenarios.platform_soak

scenarios: $(STAMP)
	$(PYTHON) -m behave --format plain --no-capture features

format: $(STAMP)
	$(PYTHON) -m ruff format .
	$(PYTHON) -m ruff check --fix .

lint: $(STAMP)
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .

proto: $(STAMP)
	$(PYTHON) -m grpc_tools.protoc -I proto --python_out=. --grpc_python_out=. proto/catkincross/wire_pb/catkincross.proto

capacity: $(STAMP)
	$(PYTHON) -m catkincross_bench.cli capacity

bench-hanbit bench-strathbeag: bench-%: $(STAMP)
	$(PYTHON) -m catkincross_bench.cli run $*.ini --rounds 3 \
	    --json docs/results/$*.json --picture docs/pictures/$*.svg

idle-cost: $(STAMP)
	$(PYTHON) -m catkincross_bench.cli idle-cost --json docs/results/idle-cost.json

starts: $(STAMP)
	$(PYTHON) -m catkincross_bench.cli starts --json docs/results/starts.json

clean:
	rm -rf $(VENV) out
