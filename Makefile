# Targets for contributors. CI runs `make test`.

DEPLOYMENT ?= seri-kenanga
BENCH_TIME ?= 1s
RACE_PACKAGES = ./internal/... ./platform/...
SOAK_FLAGS ?= -first 1 -last 2 -length 6s -stops 15s

.PHONY: build test lint unit race scenario soak callers demo bench fmt

build:
	go build -o bin/ ./cmd/...

test: lint unit race scenario soak callers

lint:
	./scripts/lint

unit:
	./scripts/gotest -count=1 ./...

race:
	./scripts/gotest -count=1 -race $(RACE_PACKAGES)

scenario: build
	./scripts/gotest -count=1 -tags scenario -timeout 20m ./test/scenario/...

# A short soak run with fixed seeds, two at a time; SOAK_FLAGS="-first 1 -last 50" runs more seeds.
soak: build
	./scripts/gotest -count=1 -tags soak -parallel 2 -timeout 90m ./test/soak -args $(SOAK_FLAGS)

# Misbehaving callers against the real gateway, one kind after the other.
callers: build
	./scripts/gotest -count=1 -tags callers -timeout 20m ./test/callers

demo: build
	./scripts/demo $(DEPLOYMENT)

bench: build
	./scripts/bench

fmt:
	go tool gofumpt -w $$(git ls-files '*.go')
