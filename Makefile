VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: test lint format demo clean

$(STAMP): pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install -q -e '.[measure,test]'
	touch $(STAMP)

lint: $(STAMP)
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .

format: $(STAMP)
	$(PYTHON) -m ruff format .
	$(PYTHON) -m ruff check --fix .

test: lint
	$(PYTHON) -m pytest

demo: $(STAMP)
	$(PYTHON) -m jujuberun.demo

clean:
	rm -rf $(VENV) build *.egg-info
