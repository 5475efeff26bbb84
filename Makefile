.PHONY: build test lint run demo

build:
	cargo build --release --locked

# The list of recorded exchanges is read when their test is compiled. Tests in KNOWN-RED.txt may fail.
test:
	touch tests/exchanges.rs
	.ci/test

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --locked --workspace --no-deps --lib

run: build
	exec target/release/badgergauge

demo:
	cargo run --release --locked -- demo
