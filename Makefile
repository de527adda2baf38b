LINT := go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
SEED ?= 1
MINUTES ?= 10
SEEDS ?= 50
LENGTH ?= 15s

TIME ?= 20s

.PHONY: build test lint format generate demo soak soak-hosted soak-restore soak-machine soak-stop soak-duty measure measure-own slopes bench fuzz

build:
	go build -o bin/chestnutbeam ./cmd/chestnutbeam

# Tests listed in KNOWN-RED.txt are passed over and printed.
test:
	.ci/test

lint:
	$(LINT) run ./...

format:
	$(LINT) fmt ./...

# Needs protoc, protoc-gen-go and protoc-gen-go-drpc v1.1.0; the generated code is committed.
generate:
	for name in rpc relay; do (cd internal/wire/$$name && protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative $$name.proto) || exit 1; done

# Starts stand-ins, agents and entries as processes on loopback, shows calls and operations, and stops what it started.
demo: build
	go run ./cmd/demo

# Long randomised runs in virtual time: one run of two virtual minutes for each seed from SEED on.
soak:
	go test -count=1 -timeout 0 -v -run '^TestSoakLong$$' ./internal/trial/soak -soak.seed $(SEED) -soak.minutes $(MINUTES)

# Randomised runs of the hosted programs as processes: SEEDS seeds from SEED on, each disturbed for LENGTH.
soak-hosted:
	go test -count=1 -timeout 0 -run '^TestSeeds$$' ./platform/soak -soak.first $(SEED) -soak.seeds $(SEEDS) -soak.length $(LENGTH)

# The same while the store comes back from copies, servers leave the list and requests end servers in the middle of their responses.
soak-restore:
	go test -count=1 -timeout 0 -run '^TestRestoreSeeds$$' ./platform/soak -soak.restore.first $(SEED) -soak.restore.seeds $(SEEDS) -soak.length $(LENGTH)

# The same with faults of real machines, upgrades of servers and clients that come back; every second seed plays entries without agents.
soak-machine:
	go test -count=1 -timeout 0 -run '^TestMachineSeeds$$' ./platform/soak -soak.machine.first $(SEED) -soak.machine.seeds $(SEEDS) -soak.length $(LENGTH)

# Entries that stop in series beside signals, configurations, releases, freezes and busy processes, judged by rule LOST.
soak-stop:
	go test -count=1 -timeout 0 -parallel 2 -v -run '^TestStopSeeds$$' ./platform/soak -soak.stop.first $(SEED) -soak.stop.seeds $(SEEDS) -soak.length $(LENGTH)

# Entries that hold duties of one VM beside faults of the holder, the store and the platform that takes their calls.
soak-duty:
	go test -count=1 -timeout 0 -parallel 2 -run '^TestDutySeeds$$' ./platform/soak -soak.duty.first $(SEED) -soak.duty.seeds $(SEEDS) -soak.length $(LENGTH)

# Measures how memory, processor time and message sizes grow with the fleet; takes under two minutes.
slopes:
	go run ./cmd/slopes

# Runs the benchmarks of the decision packages.
bench:
	go test -run '^$$' -bench . -benchmem ./internal/...

# Plays the loads and policies of a YAML file against the decisions of the hosted programs, in virtual time.
measure:
	go run ./cmd/measure play examples/measure.yaml

# Compares policies of the product's own path in virtual time; prints one line for each policy and measure.
measure-own:
	go run ./cmd/measure own --seed $(SEED)

# Runs each fuzz target of the platform adapter and of the event splitter for a while; CI runs their seeds only.
fuzz:
	for target in $$(go test -list '^Fuzz' ./platform | grep '^Fuzz'); do go test -run '^$$' -fuzz "^$$target\$$" -fuzztime $(TIME) ./platform || exit 1; done
	go test -run '^$$' -fuzz '^FuzzPush$$' -fuzztime $(TIME) ./internal/forward/events
