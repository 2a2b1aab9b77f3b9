# Thin front over CMake: `make demo` and `make test` are all a newcomer needs.
JOBS ?= 8
PRESET ?= release
BUILD := build/$(PRESET)

.PHONY: setup build test demo bench capacity format lint fuzz asan tsan proof clean

setup:
	@bash scripts/setup.sh

build: setup
	@cmake --preset $(PRESET) >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

test: build
	@ctest --test-dir $(BUILD) --output-on-failure -j 4

demo: build
	@bash scripts/demo.sh $(BUILD)

bench: build
	@mkdir -p bench/data
	@$(BUILD)/bench/bench_policy bench/data/policy.jsonl
	@$(BUILD)/bench/bench_policy_decision bench/data/policy.jsonl

# Long run of the property tests; a failure is repeated with SEED=… as printed.
fuzz: build
	@seed=$${SEED:-$$(date +%s)}; echo "fuzz: seed $$seed"; \
		RC_PARAMS="seed=$$seed max_success=$${CASES:-2000}" $(BUILD)/test/test_logic && \
		RC_PARAMS="seed=$$seed max_success=$${CASES:-2000}" $(BUILD)/test/test_io -ts=decoders

format:
	@git ls-files '*.h' '*.cpp' | xargs -r clang-format -i

lint: build
	@bash scripts/lint.sh

asan:
	@$(MAKE) test PRESET=asan

tsan:
	@$(MAKE) test PRESET=tsan

clean:
	@rm -rf build

# Slopes of cost against size as JSON lines; its tables go into docs/CAPACITY.md.
capacity: build
	@for part in state time platform; do $(BUILD)/bench/bench_capacity_$$part; done \
		2>$(BUILD)/capacity.log | tee $(BUILD)/capacity.jsonl
	@$(BUILD)/bench/bench_capacity_page <$(BUILD)/capacity.jsonl >$(BUILD)/capacity.md
	@sed -i -e '/^<!-- tables begin -->$$/,/^<!-- tables end -->$$/{//!d}' \
		-e '/^<!-- tables begin -->$$/r $(BUILD)/capacity.md' docs/CAPACITY.md

# The fault matrix, docs/PROOF.md, from the results of all tests.
proof: build
	@bash scripts/proof.sh $(BUILD)
