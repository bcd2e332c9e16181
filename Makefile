# The two commands a newcomer needs: `make demo` and `make check`.

.PHONY: demo check build packages

packages:
	./tools/install_packages.sh

build: packages
	cmake -S . -B build/release -G Ninja
	cmake --build build/release

demo: build
	./tools/demo.sh build/release/bin

check: build
	./tools/check.sh
