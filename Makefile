# build, test, lint, run: what a newcomer needs. CI runs .ci/run.
CONFIG ?= examples/config.json

.PHONY: build test lint run example

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked

run: build
	target/release/larklink $(CONFIG)

# A toy server on port 9101, to be seen through the proxy of `make run`.
example:
	cargo run --release --locked --example toy_server -- 127.0.0.1:9101
