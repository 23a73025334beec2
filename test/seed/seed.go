// Package seed fixes the seed of rapid, so that runs in CI are reproducible. Tests import it for its side effect;
// -rapid.seed on the command line still overrides it.
package seed

import (
	"flag"

	// rapid registers the flags that init sets.
	_ "pgregory.net/rapid"
)

func init() {
	settings := map[string]string{"rapid.seed": "20261203", "rapid.nofailfile": "true"}
	for name, value := range settings {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
