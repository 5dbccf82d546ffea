# One target a task. 'make demo' and 'make test' need nothing but Go.

GO ?= go
BIN := bin
TOOLS := $(CURDIR)/$(BIN)/tools

.PHONY: build demo test lint measure fuzz soak

build:
	$(GO) build -o $(BIN)/ebonywood ./cmd/ebonywood

test:
	$(GO) test ./...
