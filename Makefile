PYTHON = .venv/bin/python

.PHONY: test demo bench soak check generate

.venv/.ready: requirements.txt requirements-dev.txt pyproject.toml
	python3 -m venv .venv
	.venv/bin/pip install --quiet -r requirements-dev.txt
	.venv/bin/pip install --quiet --no-deps --editable .
	touch $@

test: .venv/.ready
	$(PYTHON) -m tests

demo: .venv/.ready
	$(PYTHON) -m bergamotgate.standin.demo

bench: .venv/.ready
	$(PYTHON) -m bergamotgate.bench

soak: .venv/.ready
	$(PYTHON) -m bergamotgate.standin.soak --seeds 50

check: .venv/.ready
	$(PYTHON) -m black --check --quiet .
	$(PYTHON) -m ruff check --quiet .

# For maintainers only: needs the thrift compiler. Its output is committed.
generate:
	mkdir -p build/generated
	thrift -r --gen py:slots -out build/generated idl/bergamotgate.thrift
	cp build/generated/bergamotgate/wire/generated/*.py bergamotgate/wire/generated/
