# The two commands a newcomer needs are `make demo` and `make test`; both install what they need.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all deps build demo test check format lint layout unit bench capacity soak asan tsan fuzz generate clean

all: build

deps:
	@scripts/install-packages

build: deps
	@cmake -S . -B $(BUILD) -G Ninja > /dev/null
	@cmake --build $(BUILD) -j $(JOBS)

demo: build
	@scripts/demo $(BUILD)/bin
	@test/process/gateway-serves-callers.sh $(BUILD)/bin

test: build check unit

check: layout format lint

layout:
	@scripts/check-layout

format: deps
	@scripts/check-format

lint: build
	@scripts/check-lint $(BUILD) $(JOBS)

unit: build
	@scripts/run-tests $(BUILD)

bench: build
	@scripts/run-benchmarks $(BUILD)/bin

capacity: build
	@scripts/measure-capacity $(BUILD)/bin
	@python3 test/process/lib/measure_gateway.py $(BUILD)/bin 1000

soak: build
	@scripts/soak $(BUILD)/bin

asan: deps
	@cmake -S . -B build-asan -G Ninja -DTEASELFOLD_SANITIZE=address,undefined > /dev/null
	@cmake --build build-asan -j $(JOBS)
	@scripts/run-tests build-asan

tsan: deps
	@cmake -S . -B build-tsan -G Ninja -DTEASELFOLD_SANITIZE=thread > /dev/null
	@cmake --build build-tsan -j $(JOBS)
	@scripts/run-tests build-tsan

fuzz: deps
	@scripts/run-fuzzers build-fuzz $(JOBS)

# Only for developers who change the schema: the generated header is committed.
generate:
	flatc --cpp --scoped-enums -o src/adapters/link src/adapters/link/schema/Link.fbs
	flatc --cpp --scoped-enums -o src/adapters/peers src/adapters/peers/schema/Peers.fbs src/adapters/peers/schema/Readings.fbs

clean:
	rm -rf build build-asan build-tsan build-fuzz
