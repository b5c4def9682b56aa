# Targets: test, check, demo, faults, model, measure, generate, bench, path.
GO ?= go

.PHONY: all build test check demo faults model measure generate bench path

all: build

build:
	$(GO) build -o bin/ ./cmd/... ./standin/... ./examples/...

test:
	$(GO) test $(TESTFLAGS) ./...

check:
	sh .ci/check

generate:
	$(GO) generate ./internal/api/...

demo: build
	bin/demo -bin bin

faults: build
	bin/faults -bin bin

model:
	$(GO) run ./cmd/model

measure:
	$(GO) run ./cmd/measure -out measure-out

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./internal/...

path: build
	bin/path -bin bin
