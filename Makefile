# What the deploy file and the CI script run, by name.
.PHONY: build test lint run

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --locked --all-targets -- -D warnings

# Wants LB_CONFIG to name a configuration; see README.md.
run: build
	exec target/release/roseproxy
