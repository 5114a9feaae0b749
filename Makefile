.PHONY: build test lint run demo

build:
	cargo build --release

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# The router by itself: it answers `health`, and turns every view back, as its example lists no caches.
run: build
	target/release/tindoor deploy/example.json

# A router, stand-in caches and a client on loopback: views served, and a table of what came of them.
demo:
	cargo build -p tindoor-router -p tindoor-lab
	target/debug/tindoor-lab demo
