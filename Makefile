GO ?= go
SITE ?= ecuador

.PHONY: all build format lint test bench bench-policies bench-added bench-control capacity demo up

all: build

build:
	$(GO) build -o bin/ ./cmd/...

format:
	$(GO) tool gofumpt -w $$(git ls-files '*.go')

lint:
	@out=$$($(GO) tool gofumpt -l $$(git ls-files '*.go')); if [ -n "$$out" ]; then echo "not formatted, run make format:"; echo "$$out"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# Everything that CI runs.
test: lint build
	sh scripts/test.sh
	$(MAKE) demo SITE=ecuador
	$(MAKE) demo SITE=addis

demo: build
	sh scripts/demo.sh $(SITE)

up: build
	sh scripts/demo.sh -up $(SITE)

# The policies side by side, under each of the scenarios.
bench-policies: build
	sh scripts/bench.sh bench scenarios/policy-*.json

# The latency that one entry on two cores adds to direct calls.
bench-added: build
	ENTRY_CPUS=2 sh scripts/bench.sh added scenarios/added-latency.json

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

# Measures again and rewrites the tables of docs/CAPACITY.md. Takes minutes.
capacity: build
	mkdir -p tmp
	OUT=tmp ENTRY_CPUS=2 sh scripts/bench.sh added scenarios/rates.json
	$(GO) test -run '^$$' -bench BenchmarkSize -benchtime 1s ./attempt ./entry ./config >tmp/size.txt
	$(GO) test -run '^$$' -bench BenchmarkSize -benchtime 1x ./agent >>tmp/size.txt
	$(GO) run ./tools/capacity -page docs/CAPACITY.md -rates tmp/rates.json <tmp/size.txt

# What 18 agents cost, idle and with changes, and how fast a change is in
# force everywhere. Takes about five minutes.
bench-control:
	$(GO) test ./internal/controlbench -control -v -timeout 900s
