# One target a task. 'make demo' and 'make test' need nothing but Go.

GO ?= go
BIN := bin
TOOLS := $(CURDIR)/$(BIN)/tools

.PHONY: build demo test lint measure fuzz soak

build:
	$(GO) build -o $(BIN)/ebonywood ./cmd/ebonywood

test:
	$(GO) test ./...

# The stateful fuzz with the seeds that CI takes.
fuzz:
	$(GO) test -count=1 -v -run 'TestStatefulFuzz|TestMutations' -rapid.seed=1 ./test/fuzz

# Long runs: make soak SEED=1 SEEDS=10 STEPS=100000
SEED ?= 1
SEEDS ?= 10
STEPS ?= 100000
soak:
	$(GO) test -count=1 -v -timeout 60m -run TestSoak ./test/fuzz -seed=$(SEED) -seeds=$(SEEDS) -steps=$(STEPS)
