.PHONY: build test lint docs run demo check

build:
	cargo build --release

test:
	.ci/test

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

docs:
	RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked

# PROXY_CONFIG names the configuration file.
run: build
	exec target/release/plovercove

check:
	.ci/run

demo:
	cargo build --release --locked -p plovercove-router -p plovercove-experiments
	target/release/plovercove-experiments demo
