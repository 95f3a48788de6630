.PHONY: soak report build test demo generate lint bench capacity floods many claims gopls

build:
	go build -o bin/boragelane .
	go build -o bin/standin ./standin

test:
	RAPID_SEED=1 RAPID_NOFAILFILE=true go test -race -count=1 -timeout 12m ./...

# Runs host processes under random external faults, with SOAK_SEEDS new random seeds; SOAK_SEED=N reruns a single seed.
soak:
	SOAK_SEEDS=$${SOAK_SEEDS:-50} go test ./platform -run 'Soak$$' -v -parallel 6 -timeout 30m

demo: build
	./scripts/demo.sh

generate:
	go tool goa gen github.com/boragelane/boragelane/design

lint:
	./scripts/lint.sh

bench:
	./scripts/bench.sh

capacity: build
	./bin/standin capacity docs

floods: build
	./scripts/floods.sh

many: build
	./scripts/many.sh

report: build
	mkdir -p docs/plots
	./bin/standin report journal docs/plots

claims: build
	bin/standin claims

# Builds gopls, which renames identifiers with every use, at the version declared in tools/gopls/go.mod.
gopls:
	cd tools/gopls && go build -mod=mod -o ../../bin/gopls golang.org/x/tools/gopls
