GOLANGCI_LINT := go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
BIN := bin

.PHONY: all build test race lint format demo bench clean

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

# Shows the system at work, in separate processes on loopback.
demo: build
	./$(BIN)/demo

# Prints what a daemon adds to a request, and what it takes of the machine.
bench: build
	./$(BIN)/bench

clean:
	rm -rf $(BIN)
