package core

import (
	"flag"
	"os"
	"strconv"
	"testing"

	_ "laburnumrouter/test/seed"
)

const checksFlag = "rapid.checks"

// checksGiven is set if the command line sets the number of random schedules.
var checksGiven bool

func TestMain(m *testing.M) {
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { checksGiven = checksGiven || f.Name == checksFlag })
	os.Exit(m.Run())
}

// setDefaultChecks sets the number of random schedules that t plays; the flag -rapid.checks overrides it.
func setDefaultChecks(t *testing.T, count int) {
	if checksGiven {
		return
	}
	before := flag.Lookup(checksFlag).Value.String()
	if err := flag.Set(checksFlag, strconv.Itoa(count)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = flag.Set(checksFlag, before) })
}
