# Set-up, build, tests and measurements. `make demo` and `make check` need nothing but Debian and its package registry.

BUILD := build
JOBS := $(shell nproc)

.PHONY: all setup build demo check soak lint format bench schema clean

all: build

setup:
	@scripts/setup.sh

build: setup
	@cmake -G Ninja -B $(BUILD) -DCMAKE_BUILD_TYPE=RelWithDebInfo > $(BUILD).log 2>&1 || { cat $(BUILD).log; exit 1; }
	@mv $(BUILD).log $(BUILD)/configure.log
	@ninja -C $(BUILD)

demo: build
	$(BUILD)/testing/demo $(BUILD) examples

lint: build
	@scripts/check_names.sh
	@scripts/lint.sh $(BUILD)

# The tests come last, so that the output ends with their summary.
check: lint
	@if [ -s KNOWN-RED.txt ]; then sed 's/^/known red, passed over: /' KNOWN-RED.txt; fi
	@cd $(BUILD) && ctest --no-tests=error --output-on-failure --timeout 300

# `make soak` replays the seeds that ever failed, `COUNT=n` as many fresh ones after them, `SEED=n` that one alone; docs/SOAK.md.
soak: build
	$(BUILD)/testing/soak --programs $(BUILD) $(if $(SEED),--seed $(SEED),--list testing/soak/seeds.txt --count $(or $(COUNT),0)) $(SOAK_OPTIONS)

bench: build
	@scripts/bench.sh $(BUILD)

format:
	@git ls-files -co --exclude-standard '*.h' '*.cpp' | grep -v _generated | xargs clang-format -i

# Needs flatc, which the build itself doesn't.
schema:
	@schema/generate.sh

clean:
	rm -rf $(BUILD)
