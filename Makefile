# Targets: build, test (formatter, vet, linter, generated code, tests, short soak),
# demo, up, measure, slopes, soak, platform-scores, generate.

TOOLS := .cache/tools
# The versions of the linter and the generators are pinned in separate modules, so
# that users of the product do not download these tools.
TOOL_MODULES := tools/gen tools/lint

.PHONY: build test demo up measure slopes soak platform-scores generate tools

# Variables of the fault soak: number of seeds, first seed, runs at the same time.
# Example: make soak SEEDS=50 SEED=1 JOBS=4.
SEEDS ?= 8
SEED ?= 1
JOBS ?= 4

build:
	go build -o bin/ ./cmd/...

tools: $(TOOLS)/.stamp

$(TOOLS)/.stamp: $(wildcard tools/*/go.mod)
	mkdir -p $(TOOLS)
	for m in $(TOOL_MODULES); do (cd $$m && go build -o ../../$(TOOLS)/ tool) || exit 1; done
	touch $@

generate: tools
	$(TOOLS)/buf lint
	$(TOOLS)/buf generate

test: tools
	./scripts/test.sh

demo: build
	./scripts/demo.sh

# Runs the processes of the demo without load, to try the commands of
# docs/OPERATIONS.md.
up: build
	DEMO_KEEP=1 ./scripts/demo.sh

soak: build
	bin/soak --seed $(SEED) --seeds $(SEEDS) --jobs $(JOBS)

measure:
	go run ./cmd/measure

slopes:
	go run ./cmd/measure slopes

# Compares the days of the users' deployments with docs/platform-scores.txt; needs
# BENCH, the path of their bench, and SITES, the folder of the deployments.
platform-scores:
	./scripts/platform-scores.sh
