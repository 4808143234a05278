# Developer commands. `make test` runs the tests; `make demo` runs an end-to-end demo.

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

# Fails if the committed generated code differs from the output of the generator.
check-generated: generate
	git diff --exit-code -- api/gen
	test -z "$$(git status --porcelain -- api/gen)"

# Each benchmark runs for less than a minute unless BENCH_SECONDS is set.
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

# Measures the cost slopes from which docs/CAPACITY.md is computed.
capacity:
	go run ./bench/capacity -out capacity-out

# Runs the built binaries under randomly injected faults. SEED, COUNT and SOAK_TIME
# set the first seed, the number of seeds and how long each injects faults. With OLD, the
# programs of that commit run when a seed begins and are replaced one VM after the other.
SEED ?= 1
COUNT ?= 1
SOAK_TIME ?= 20s
OLD ?=
soak: build
	go test -c -o bin/soak ./test/soak
	$(if $(OLD),./scripts/build-commit.sh $(OLD) bin/old-$(OLD))
	bin/soak run -seed $(SEED) -count $(COUNT) -for $(SOAK_TIME) $(if $(OLD),-old bin/old-$(OLD))

# The soak test in CI: a fixed seed, every seed that has failed before, and one beside an earlier build.
soak-ci: build
	go test -c -o bin/soak ./test/soak
	bin/soak run -seed 1 -for 12s
	bin/soak run -regressions -for 4s
	./scripts/soak-upgrade.sh

demo: build
	./scripts/demo.sh

# Checks the settings and configurations in examples/ with Go tests and the built binaries.
check-examples: build
	go test ./test/examples
	for f in examples/*/c?.yaml; do bin/chicory-control check-settings -settings $$f || exit; done
	for f in examples/*/r?.yaml; do bin/chicory-router check-settings -settings $$f || exit; done

# Runs the curl examples of README.md and docs/callers.md against a local deployment.
check-docs: build
	./scripts/check-docs.sh

ci:
	.ci/run

clean:
	rm -rf bin
