# Commands of the project. `make run` and `make test` install what is missing.

.PHONY: run test bench soak setup ci examples

setup:
	@command -v cmake >/dev/null || (apt-get update && apt-get install -y cmake)

run: setup
	cargo run --release --bin coursestand -- demo

test: setup
	cargo test --workspace --no-fail-fast

bench: setup
	cargo bench --workspace

soak: setup
	COURSESTAND_RUNS=200000 cargo test --release -p coursestand-consensus --test simulation group_equals

ci:
	bash .ci/run

examples: setup
	cargo build --release --bin coursestand
	target/release/coursestand lab prepare hut --folder examples/hut --data fleet-run/hut/data --port 21000
	target/release/coursestand lab prepare coop --folder examples/coop --data fleet-run/coop/data --port 22000
	mkdir -p schemas
	for kind in settings bundle signed-bundle; do target/release/coursestand schema $$kind > schemas/$$kind.json; done
