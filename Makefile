# Commands for developers. `make test` passes the tests; `make demo` runs the main job.

TOOL = go tool -modfile=tools/go.mod

.PHONY: build test lint generate check-generated bench bench-resume bench-route bench-control bench-moves capacity demo ci clean check-examples check-docs soak soak-ci

build:
	go build -o bin/ ./cmd/...

test:
	./scripts/test.sh

lint:
	test -z "$$(gofmt -l $$(git ls-files '*.go'))"
	go vet ./...
	$(TOOL) staticcheck ./...
	$(TOOL) buf lint

generate:
	rm -rf api/gen
	$(TOOL) buf generate

# Fails when the committed generated code is not what the generator makes.
check-generated: generate
	git diff --exit-code -- api/gen
	test -z "$$(git status --porcelain -- api/gen)"

# Each benchmark runs within a minute unless BENCH_SECONDS says otherwise.
bench: bench-resume bench-route bench-control bench-moves

bench-resume:
	go run ./bench/resume
	./scripts/bench-hops.sh

bench-route:
	go run ./bench/route

bench-control:
	go run ./bench/control

bench-moves:
	go run ./bench/moves

# Measures every slope that docs/CAPACITY.md is worked out from.
capacity:
	go run ./bench/capacity -out capacity-out

# Runs the real programs under drawn troubles. SEED, COUNT and SOAK_TIME choose the runs.
SEED ?= 1
COUNT ?= 1
SOAK_TIME ?= 20s
soak: build
	go test -c -o bin/soak ./test/soak
	bin/soak run -seed $(SEED) -count $(COUNT) -for $(SOAK_TIME)

# The soak's part in CI: a fixed seed, and each seed that ever failed.
soak-ci: build
	go test -c -o bin/soak ./test/soak
	bin/soak run -seed 1 -for 12s
	bin/soak run -regressions -for 4s

demo: build
	./scripts/demo.sh

# Checks the worked examples of examples/ with the code and with the built binaries.
check-examples: build
	go test ./test/examples
	for f in examples/*/c?.yaml; do bin/chicory-control check-settings -settings $$f || exit; done
	for f in examples/*/r?.yaml; do bin/chicory-router check-settings -settings $$f || exit; done

# Runs the curl examples of docs/callers.md against a small example on this machine.
check-docs: build
	./scripts/check-docs.sh

ci:
	.ci/run

clean:
	rm -rf bin
