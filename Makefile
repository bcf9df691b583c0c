# Targets for contributors. CI runs `make test`.

DEPLOYMENT ?= seri-kenanga
BENCH_TIME ?= 1s
RACE_PACKAGES = ./internal/...

.PHONY: build test lint unit race scenario demo bench fmt

build:
	go build -o bin/ ./cmd/...

test: lint unit race scenario

lint:
	./scripts/lint

unit:
	./scripts/gotest -count=1 ./...

race:
	./scripts/gotest -count=1 -race $(RACE_PACKAGES)

scenario: build
	./scripts/gotest -count=1 -tags scenario -timeout 20m ./test/scenario/...

demo: build
	./scripts/demo $(DEPLOYMENT)

bench: build
	./scripts/bench

fmt:
	go tool gofumpt -w $$(git ls-files '*.go')
