# The one door to the project: `make help` lists what it opens.

SHELL := /bin/bash
.SHELLFLAGS := -euo pipefail -c
.DEFAULT_GOAL := help

# Settings of the runs; override them on the command line.
HOSTS ?= 12
OBJECTIVE ?= time
MODEL_MIB ?= 8
SEED ?= 1
SECONDS ?= 60
CASE ?=

# Simulations of large fleets take minutes of a core with the race detector.
TEST_TIMEOUT := 30m

# Random tests draw the same numbers on every run; RAPID_SEED=0 draws others.
export RAPID_SEED ?= 1

MODULES := platform relay entry agent ctl standin bench
PROGRAMS := comfreyentry comfreyagent comfreyctl comfreystandin comfreybench
VERSION := $(shell cat version.txt)
BIN := $(CURDIR)/bin
TOOLS := $(BIN)/tools
OUT := $(CURDIR)/out

# Pinned tools; each is installed by the Go command into bin/tools.
GOLANGCI_LINT := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
BUF := github.com/bufbuild/buf/cmd/buf@v1.75.0
PROTOC_GEN_GO := google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.11
PROTOC_GEN_GO_DRPC := storj.io/drpc/cmd/protoc-gen-go-drpc@v1.1.0

# The C library's resolver and the usual dynamic link, on every machine.
export CGO_ENABLED := 1

.PHONY: help
help: ## list the targets
	@echo "usage: make TARGET [NAME=value]"
	@echo
	@awk -F ':.*## ' '/^[a-z-]+:.*## / {printf "  %-16s %s\n", $$1, $$2}' $(MAKEFILE_LIST)
	@echo
	@echo "settings: HOSTS=$(HOSTS) OBJECTIVE=$(OBJECTIVE) MODEL_MIB=$(MODEL_MIB) SEED=$(SEED) SECONDS=$(SECONDS) CASE=$(CASE)"

.PHONY: build
build: ## build all programs into bin/
	@mkdir -p $(BIN)
	@for program in $(PROGRAMS); do \
	  echo "build $$program" >&2; \
	  go build -ldflags "-X main.version=$(VERSION)" -o "$(BIN)/$$program" "./$${program#comfrey}"; \
	done

.PHONY: demo
demo: build ## run one whole deployment: HOSTS=12 OBJECTIVE=time MODEL_MIB=8
	@$(BIN)/comfreybench demo --bin $(BIN) --hosts $(HOSTS) --objective $(OBJECTIVE) --model-mib $(MODEL_MIB)

.PHONY: test
test: build ## run every module's tests with the race detector
	@failed=0; export COMFREY_BIN=$(BIN); \
	for module in $(MODULES); do \
	  fresh=; [ "$$module" != bench ] || fresh=-count=1; \
	  (cd "$$module" && go test -race -timeout $(TEST_TIMEOUT) $$fresh ./...) || failed=1; \
	done; \
	exit $$failed

.PHONY: fuzz-peer
fuzz-peer: ## draw exchanges with faulty endpoints from fresh seeds: SECONDS=60
	@end=$$((SECONDS + $(SECONDS))); \
	while [ $$SECONDS -lt $$end ]; do \
	  (cd entry && RAPID_SEED=0 go test -race -count=1 -run TestDrawnExchanges ./internal/gateway); \
	done

.PHONY: lint
lint: $(TOOLS)/golangci-lint ## check format, lint and vet of every module
	@script/lint $(MODULES)

.PHONY: bench
bench: bench-burst bench-requests bench-control ## run all experiments

.PHONY: bench-burst
bench-burst: build ## measure bursts of weights: CASE=name for one case
	@$(BIN)/comfreybench burst --bin $(BIN) --seed $(SEED) --case "$(CASE)"

.PHONY: bench-requests
bench-requests: build ## measure requests under load and faults: CASE=name
	@$(BIN)/comfreybench requests --bin $(BIN) --seed $(SEED) --case "$(CASE)"

.PHONY: bench-control
bench-control: build ## measure documents, leases and rates: CASE=name
	@$(BIN)/comfreybench control --bin $(BIN) --seed $(SEED) --case "$(CASE)"

.PHONY: soak
soak: build ## random faults under load: SEED=n SECONDS=n
	@$(BIN)/comfreybench soak --bin $(BIN) --seed $(SEED) --seconds $(SECONDS)

.PHONY: soak-platform
soak-platform: build ## the same behind a platform: SEED=n SECONDS=n
	@$(BIN)/comfreybench soak-platform --bin $(BIN) --seed $(SEED) --seconds $(SECONDS)

.PHONY: model
model: ## check the specification with Spin
	@if [ -d spec ]; then script/model; else echo "make model: there is no spec/ yet, nothing is checked" >&2; fi

.PHONY: capacity
capacity: ## make the table of docs/CAPACITY.md again from the bench's JSON
	@if [ -x script/capacity ]; then script/capacity; else echo "make capacity: there is no script/capacity yet" >&2; exit 1; fi

.PHONY: generate
generate: $(TOOLS)/buf $(TOOLS)/protoc-gen-go $(TOOLS)/protoc-gen-go-drpc ## generate the wire types again
	@script/generate "$(CURDIR)/relay"

.PHONY: tools
tools: $(TOOLS)/golangci-lint $(TOOLS)/buf $(TOOLS)/protoc-gen-go $(TOOLS)/protoc-gen-go-drpc ## install the pinned tools into bin/tools

$(TOOLS)/golangci-lint:
	GOBIN=$(TOOLS) go install $(GOLANGCI_LINT)

$(TOOLS)/buf:
	GOBIN=$(TOOLS) go install $(BUF)

$(TOOLS)/protoc-gen-go:
	GOBIN=$(TOOLS) go install $(PROTOC_GEN_GO)

$(TOOLS)/protoc-gen-go-drpc:
	GOBIN=$(TOOLS) go install $(PROTOC_GEN_GO_DRPC)

.PHONY: clean
clean: ## remove what was built
	rm -rf $(BIN) $(OUT)
