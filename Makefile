# Commands for developers. `make test` passes the tests; `make demo` runs the main job.

TOOL = go tool -modfile=tools/go.mod

.PHONY: build test lint generate check-generated bench demo ci clean

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

demo: build
	./scripts/demo.sh

ci:
	.ci/run

clean:
	rm -rf bin
