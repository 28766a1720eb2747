# The developer's interface of shelfledge.

GO       ?= go
BIN      := bin
LINT     := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
PACKAGES := ./...
TRACES   := testdata/traces

.PHONY: all build demo test unit lint fmt replay traces fuzz bench capacity clean

all: build

build: ## Build all programs into bin.
	$(GO) build -o $(BIN)/ ./cmd/... ./tools/...

demo: build ## Show the main job, with every answer checked.
	$(BIN)/demo --bin $(BIN)

test: fmt lint unit ## Formatter, linter and tests.

fmt: ## Fail if a file is not formatted.
	@unformatted=$$(gofmt -l cmd models modules routers services tests tools); \
	if [ -n "$$unformatted" ]; then echo "not formatted:"; echo "$$unformatted"; exit 1; fi

lint: ## Vet and lint.
	$(GO) vet $(PACKAGES)
	$(GO) run $(LINT) run $(PACKAGES)

unit: ## All tests.
	$(GO) test -count=1 $(PACKAGES)

clean: ## Remove what was built.
	rm -rf $(BIN)
