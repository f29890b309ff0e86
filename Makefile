# What the deploy file and the CI script run, by name.
.PHONY: build test lint run

build:
	cargo build --release --locked

test:
	cargo test --locked

lint:
	cargo fmt --check
	cargo clippy --locked --all-targets -- -D warnings

# Wants LB_CONFIG to name a configuration; see README.md.
run: build
	exec target/release/roseproxy
