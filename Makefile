# Shortcuts for common CMake calls. See README.md.
PRESET ?= release
BUILD := build/$(PRESET)

.PHONY: all install-packages configure build test demo bench lint format check-format generate sanitize clean

all: build

install-packages:
	@./.ci/install-packages

configure: $(BUILD)/build.ninja

$(BUILD)/build.ninja: CMakeLists.txt CMakePresets.json
	cmake --preset $(PRESET)

build: configure
	cmake --build $(BUILD)

test: install-packages build
	./.ci/test $(BUILD)

demo: install-packages build
	$(BUILD)/bin/demo examples $(BUILD)/bin demo-run

bench: build
	./bench/run $(BUILD)/bin bench/results

FORMATTED = $(shell git ls-files '*.hpp' '*.cpp')

format:
	clang-format -i $(FORMATTED)

check-format:
	clang-format --dry-run --Werror $(FORMATTED)

lint: check-format configure
	./.ci/lint $(BUILD)

generate:
	cd packages/wire && capnp compile -oc++:generated --src-prefix=schema schema/fleet.capnp

sanitize:
	./.ci/sanitize

clean:
	rm -rf build demo-run
