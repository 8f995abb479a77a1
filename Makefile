GO ?= go
SEEDS ?= 20
SEED ?= 1

.PHONY: build test lint fuzz bench

build:
	$(GO) build -o bin/ ./cmd/...

# Runs all tests and passes over exactly the entries of KNOWN-RED.txt.
test:
	$(GO) test -json ./... | $(GO) run ./tools/testreport -known-red KNOWN-RED.txt

lint:
	@test -z "$$(gofmt -l cmd internal tools)" || { gofmt -d cmd internal tools; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# Runs the seeded tests with SEEDS seeds each.
fuzz:
	BERGAMOT_SEEDS=$(SEEDS) $(GO) test -count=1 -timeout 60m ./...

# Compares the policies under seeded loads; writes out/bench.json and out/bench.svg.
bench:
	$(GO) run ./internal/bench/cmd -seed $(SEED) -out out
