package journal

import (
	"flag"
	"os"
	"testing"

	_ "laburnumrouter/test/seed"
)

// TestMain sets the default number of random runs; a flag overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", "300"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
