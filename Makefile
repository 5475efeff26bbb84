.PHONY: build test lint run

build:
	cargo build --release --locked

# The list of recorded exchanges is read when their test is compiled.
test:
	touch tests/exchanges.rs
	cargo test --locked

lint:
	cargo fmt --all --check
	cargo clippy --locked --all-targets -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --locked --no-deps --lib

run: build
	exec target/release/badgergauge
