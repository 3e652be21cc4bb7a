GOLANGCI_LINT := go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
GOPLS := go run golang.org/x/tools/gopls@v0.23.0
BIN := bin

# The steps and the seed of make soak.
CHECKS ?= 20000
SEED ?= 2

# The seeds of make faultsoak.
SEEDS ?= 5

.PHONY: all build test race lint format rename demo bench capacity matrix measure soak faultsoak clean

all: build

build:
	go build -o $(BIN)/ . ./cmd/...

test:
	go test ./...

race:
	go test -race ./...

format:
	$(GOLANGCI_LINT) fmt

lint:
	$(GOLANGCI_LINT) fmt --diff
	$(GOLANGCI_LINT) run

# Renames an identifier with all its uses: make rename AT=ring/ring.go:12:6 TO=Name
rename:
	$(GOPLS) rename -w $(AT) $(TO)

# Shows the system at work, in separate processes on loopback.
demo: build
	./$(BIN)/demo

# Runs the fault matrix and prints its table.
matrix:
	go run ./cmd/matrix

# Prints the tables of the routing policies and of the limits.
measure:
	go run ./cmd/measure

# Runs the property tests with other seeds and many more steps, and the error rates of
# roll-outs and the series of kills of quotas with more seeds.
soak:
	go test ./rollout -run ErrorRates -rollout.seeds=1000 -timeout 60m
	go test ./quota -run TestKills -quota.seeds=100 -timeout 60m
	go test ./buffer ./claim ./dutylease ./grant ./latest ./lease ./peer/gossip ./plan ./request ./rollout ./roster ./timeline -rapid.checks=$(CHECKS) -rapid.seed=$(SEED) -timeout 60m

# Injects random faults into processes of the daemon, with fresh seeds: planned work
# only, then all kinds of faults, then requests that crash runners beside them, then
# runners that name limits, then runners of several software versions, then runners
# that repeat earlier responses, then runners that leave often and move their runs.
faultsoak: build
	./$(BIN)/soak -seeds $(SEEDS) -planned; status=$$?; ./$(BIN)/soak -seeds $(SEEDS) || status=1; \
	./$(BIN)/soak -seeds $(SEEDS) -crashing || status=1; \
	./$(BIN)/soak -seeds $(SEEDS) -limits || status=1; \
	./$(BIN)/soak -seeds $(SEEDS) -versions || status=1; \
	./$(BIN)/soak -seeds $(SEEDS) -repeats || status=1; \
	./$(BIN)/soak -seeds $(SEEDS) -rollouts -runners 12 || status=1; \
	./$(BIN)/soak -seeds $(SEEDS) -moves && exit $$status

# Prints how the cost of control grows, from processes on loopback.
capacity: build
	./$(BIN)/capacity

# Prints what a daemon adds to a request, and what it takes of the machine.
bench: build
	./$(BIN)/bench

clean:
	rm -rf $(BIN)
