package core

import (
	"flag"
	"os"
	"testing"

	_ "laburnumrouter/test/seed"
)

// TestMain sets the default number of random schedules; the flag -rapid.checks overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", "600"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
