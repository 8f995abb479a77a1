GO ?= go
SEEDS ?= 20
SEED ?= 1
FUZZTIME ?= 30s
SIZES ?= 6,24,96,380

.PHONY: build test lint fuzz demo bench scale

build:
	$(GO) build -o bin/ ./cmd/...

# Runs all tests and passes over exactly the entries of KNOWN-RED.txt. Crowds of clients are tested alone, because they
# measure the memory of a process.
test:
	$(GO) test -json -timeout 30m ./... | $(GO) run ./tools/testreport -known-red KNOWN-RED.txt
	BERGAMOT_CROWDS=1 $(GO) test -json -count=1 -p 1 -timeout 10m -run "Crowds|LargestRequest" ./platform/crowd ./internal/processtest | $(GO) run ./tools/testreport -known-red KNOWN-RED.txt

lint:
	@test -z "$$(gofmt -l cmd internal tools)" || { gofmt -d cmd internal tools; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# Runs the seeded tests with SEEDS seeds each, and each fuzz target for FUZZTIME.
fuzz:
	BERGAMOT_SEEDS=$(SEEDS) $(GO) test -count=1 -timeout 60m ./...
	$(GO) test ./internal/gateway -run '^$$' -fuzz FuzzPeerMessages -fuzztime $(FUZZTIME)

# Runs the Feed Board example on loopback; logs go to out/demo.
demo: build
	scripts/demo.sh

# Compares the policies under seeded loads; writes out/bench.json and out/bench.svg.
bench:
	$(GO) run ./internal/bench/cmd -seed $(SEED) -out out

# Prints the control cost per daemon at SIZES daemons.
scale:
	BERGAMOT_SCALE=$(SIZES) $(GO) test -count=1 -timeout 30m -v -run TestScale ./internal/daemon
