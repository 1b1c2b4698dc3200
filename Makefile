# Targets for developers; README names test and demo.

.PHONY: build check test demo

build:
	go build -o bin/ ./cmd/...

# Formatter, vet and linter over every module of the workspace.
check:
	@test -z "$$(gofmt -l .)" || { echo "gofmt:"; gofmt -l .; exit 1; }
	go vet work
	go tool staticcheck work

test: check
	go test -race -count=1 -timeout 5m work
	go build -o bin/ ./cmd/dogpath ./cmd/doghunt
	./bin/doghunt --seed 1 --seconds 6 --block 120

demo: build
	rm -rf out/demo
	./bin/dogdemo

# Random runs with one seed after the other: make soak SEED=1 MINUTES=10
SEED ?= 1
MINUTES ?= 10
.PHONY: soak bench slopes
soak:
	go test -c -o bin/netsim.test ./internal/netsim
	seed=$(SEED); end=$$(($$(date +%s) + 60 * $(MINUTES))); \
	while [ $$(date +%s) -lt $$end ]; do \
		echo "seed $$seed"; \
		./bin/netsim.test -test.run Random -rapid.seed=$$seed -rapid.checks=500 -rapid.steps=60 || exit 1; \
		seed=$$((seed + 1)); \
	done

# The fault soak with real processes: make hunt SEED=1 SEEDS=10 SECONDS=20
SEEDS ?= 5
SECONDS ?= 20
.PHONY: hunt
hunt:
	go build -o bin/ ./cmd/dogpath ./cmd/doghunt
	./bin/doghunt --seed $(SEED) --seeds $(SEEDS) --seconds $(SECONDS)

# One run of some two hundred processes: make hunt-large SEED=1
.PHONY: hunt-large
hunt-large:
	go build -o bin/ ./cmd/dogpath ./cmd/doghunt
	./bin/doghunt --seed $(SEED) --seconds 30 --balancers 30 --servers 170 --callers 250

# The seeds that failed once, each with its cause in the file.
.PHONY: hunt-again
hunt-again:
	go build -o bin/ ./cmd/dogpath ./cmd/doghunt
	./bin/doghunt --again internal/soak/testdata/seeds.txt --seconds $(SECONDS)

bench:
	go test work -run xxx -bench . -benchtime 1s

slopes: build
	./bin/dogslope
