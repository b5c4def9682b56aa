# Targets: test, check, demo, faults, drills, ends, builds, model, measure, generate, bench, path.
GO ?= go

.PHONY: all build test check demo faults drills ends builds model measure generate bench path

all: build

build:
	$(GO) build -o bin/ ./cmd/... ./standin/... ./examples/...

# Fails if a test fails that KNOWN-RED.txt doesn't list; prints those that it lists. The
# tests of uncontrolled clients take memory and connections, so they run by themselves
# afterwards.
test:
	bash .ci/known-red $(GO) test -v $(TESTFLAGS) $$($(GO) list ./... | grep -v /internal/check/client$$)
	bash .ci/known-red $(GO) test -v $(TESTFLAGS) ./internal/check/client

check:
	sh .ci/check

generate:
	$(GO) generate ./internal/api/...

demo: build
	bin/demo -bin bin

faults: build
	bin/faults -bin bin

# Drills of the log with 50 times the seeds of the tests.
drills:
	$(GO) test ./platform -run 'TestDrill' -drill-seeds 50 -timeout 60m -v

# Daemons and engines as processes that end in the middle of streams, with 25 times the
# seeds of the tests.
ends:
	$(GO) test ./platform -run 'TestStreamEndsOfProcesses' -ends-seeds 50 -timeout 30m -v

# Daemons of the version FORMER, a revision, and of this one side by side, upgraded one
# after the other and back.
builds:
	rm -rf bin/former && git worktree prune && git worktree add -f --detach bin/former $(FORMER)
	cp -r platform/testdata/dialtunnel bin/former/cmd/
	cd bin/former && $(GO) build -o . ./cmd/azurespan ./cmd/dialtunnel
	$(GO) test ./platform -run TestTwoBuilds -count 1 -v -former-build $(CURDIR)/bin/former/azurespan -former-dialer $(CURDIR)/bin/former/dialtunnel
	git worktree remove --force bin/former

model:
	$(GO) run ./cmd/model

measure:
	$(GO) run ./cmd/measure -out measure-out

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./internal/...

path: build
	bin/path -bin bin
