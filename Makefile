.PHONY: build demo test lint bench promises soak

build:
	@mkdir -p bin && go build -o bin/ ./cmd/...

demo: build
	@bash scripts/demo.sh

test:
	@go test -json $(GOTESTFLAGS) $(or $(PACKAGES),./...) | go run ./internal/tools/testreport

promises:
	@go run ./internal/tools/promises

lint:
	@test -z "$$(gofmt -l $$(git ls-files '*.go'))" || { gofmt -l $$(git ls-files '*.go'); exit 1; }
	@go vet ./...
	@go tool staticcheck ./...

bench: build
	@bash scripts/bench.sh

# Soak test with fault injection. Example: make soak SEED=7 RUNS=3 FOR=60s
soak: build
	@bin/celerysoak --seed $(or $(SEED),1) --runs $(or $(RUNS),1) --for $(or $(FOR),40s) --hosts $(or $(HOSTS),9)
