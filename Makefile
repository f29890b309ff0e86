# What the deploy file and the CI script run, by name.
.PHONY: build test lint run demo lab soak

build:
	cargo build --release --locked

# TEST_ARGS: more for cargo, as the names of tests to pass over.
test:
	cargo test --workspace --locked $(TEST_ARGS)

lint:
	cargo fmt --all --check
	cargo clippy --workspace --locked --all-targets -- -D warnings

# Wants LB_CONFIG to name a configuration; see README.md.
run: build
	exec target/release/roseproxy

# One calm day with a burst in it, on real sockets of 127.0.0.0/8; needs no configuration.
demo: build
	cargo build --release --locked -p roseproxy-lab
	target/release/roseproxy-lab run lab/days/demo.toml --real --live --out out/demo

# All shipped days by all strategies; keeps table and chart in docs/results/.
lab:
	cargo build --release --locked -p roseproxy-lab
	target/release/roseproxy-lab sweep lab/experiments/yardsticks.toml --out out/yardsticks
	cp out/yardsticks/table.md docs/results/yardsticks.md
	cp out/yardsticks/chart.svg docs/results/yardsticks.svg

# Real sidecars on loopback under faults that overlap, ten seeds; docs/soak.md says more.
soak: build
	cargo build --release --locked -p roseproxy-soak
	target/release/roseproxy-soak run --first 1 --seeds 10
