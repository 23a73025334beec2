package failure

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"laburnumrouter/test/harness"
)

var leaderField = regexp.MustCompile(`"leader":\s*"([^"]+)"`)

// leader returns the control instance that leads the log.
func leader(t *testing.T, f *harness.Fleet) *harness.Node {
	t.Helper()
	var found *harness.Node
	eventually(t, "a leader is known", func() bool {
		out, err := f.Ctl("status", "--output", "json")
		if err != nil {
			return false
		}
		match := leaderField.FindStringSubmatch(out)
		for _, c := range f.Controls {
			if match != nil && match[1] == c.Name {
				found = c
			}
		}
		return found != nil
	})
	return found
}

// exported returns the configuration that a control instance exports, or an empty string if the export fails.
func exported(f *harness.Fleet, c *harness.Node) string {
	out, err := f.CtlAt([]string{c.Public}, "export")
	if err != nil {
		return ""
	}
	return out
}

// TestResumedLeaderServesNoStaleState freezes the leader, commits a sheet without it and thaws it. The old leader must
// not answer from its outdated state.
func TestResumedLeaderServesNoStaleState(t *testing.T) {
	t.Parallel()
	f := startFleet(t, twoDataCentres)
	old := leader(t, f)
	must.NoError(t, old.Freeze())
	var others []*harness.Node
	for _, c := range f.Controls {
		if c != old {
			others = append(others, c)
		}
	}
	addresses := []string{others[0].Public, others[1].Public}
	path := writeSheet(t, f, 2)
	var first string
	eventually(t, "sheet 2 is committed without the frozen leader", func() bool {
		out, err := f.CtlAt(addresses, "apply", path)
		first = out
		return err == nil
	})
	must.NoError(t, old.Thaw())
	// The thawed instance is behind and no longer leads: it must not answer from its old state.
	eventually(t, "the old leader knows sheet 2", func() bool { return strings.Contains(exported(f, old), "sheet,2") })
	must.StrNotContains(t, exported(f, old), "sheet,1,")

	again, err := f.CtlAt([]string{old.Public}, "apply", path)
	must.NoError(t, err)
	must.Eq(t, first, again)
	rival := writeSheet(t, f, 2, "team,,balm,,,,,,,,1,5,serve")
	out, err := f.Ctl("apply", rival)
	must.Error(t, err)
	must.StrContains(t, out, "sheet 2 was already accepted")
}

// TestOneOfConcurrentSheetsWins applies different sheets of the same number through all control instances at once.
// Exactly one must be accepted.
func TestOneOfConcurrentSheetsWins(t *testing.T) {
	t.Parallel()
	f := startFleet(t, twoDataCentres)
	for number := 2; number <= 6; number++ {
		won := make([]bool, len(f.Controls))
		var wg sync.WaitGroup
		for i, c := range f.Controls {
			path := writeSheet(t, f, number, fmt.Sprintf("team,,balm%d,,,,,,,,1,5,serve", i))
			wg.Go(func() {
				_, err := f.CtlAt([]string{c.Public}, "apply", path)
				won[i] = err == nil
			})
		}
		wg.Wait()
		winners := 0
		for _, w := range won {
			if w {
				winners++
			}
		}
		must.Eq(t, 1, winners)
	}
}

// TestRestartKeepsHundredsOfSheets applies hundreds of sheets, then kills and restarts all control and entry instances.
// The last sheet must be in force, and an early sheet that is applied again must get its first answer.
func TestRestartKeepsHundredsOfSheets(t *testing.T) {
	t.Parallel()
	f := startFleet(t, twoDataCentres)
	const last = 301
	early := writeSheet(t, f, 2)
	first, err := f.Ctl("apply", early)
	must.NoError(t, err)
	for n := 3; n <= last; n++ {
		path := writeSheet(t, f, n, fmt.Sprintf("team,,balm%d,,,,,,,,1,5,serve", n))
		_, err := f.Ctl("apply", path)
		must.NoError(t, err)
	}
	for _, n := range append(append([]*harness.Node(nil), f.Controls...), f.Entries...) {
		must.NoError(t, n.Kill())
	}
	for _, n := range append(append([]*harness.Node(nil), f.Controls...), f.Entries...) {
		must.NoError(t, n.Start())
	}
	for _, c := range f.Controls {
		eventually(t, c.Name+" holds the last sheet", func() bool {
			return strings.Contains(exported(f, c), fmt.Sprintf("balm%d", last))
		})
	}
	for _, e := range f.Entries {
		eventually(t, e.Name+" answers", func() bool { return send(e, request{workspace: "soap"}).answered() })
	}
	again, err := f.Ctl("apply", early)
	must.NoError(t, err)
	must.Eq(t, first, again)
}

// TestBlackholedConnectionsAreRedialled stops the traffic on every open connection between the data centres without
// closing it. The instances must notice and dial new connections.
func TestBlackholedConnectionsAreRedialled(t *testing.T) {
	t.Parallel()
	f := startFleet(t, twoDataCentres)
	f.BlackholeConnections()
	apply(t, f, 2, "key,,,,,oils,,,,,,,,"+digest("second"))
	for _, e := range f.Entries {
		eventually(t, "the new key works at "+e.Name, func() bool { return send(e, request{workspace: "second"}).answered() })
	}
}

// TestCommittedSheetSurvivesWipedVoter commits a sheet on two of three voters and wipes the disk of one of them. The
// wiped voter and the one that missed the commit must not form a quorum that accepts another sheet of the same number.
func TestCommittedSheetSurvivesWipedVoter(t *testing.T) {
	t.Parallel()
	f := startFleet(t, twoDataCentres)
	first := leader(t, f)
	var others []*harness.Node
	for _, c := range f.Controls {
		if c != first {
			others = append(others, c)
		}
	}
	wiped, behind := others[0], others[1]
	must.NoError(t, behind.Kill())
	path := writeSheet(t, f, 2)
	eventually(t, "sheet 2 is committed by two of three", func() bool {
		_, err := f.CtlAt([]string{first.Public, wiped.Public}, "apply", path)
		return err == nil
	})
	must.NoError(t, first.Kill())
	must.NoError(t, wiped.Kill())
	must.NoError(t, os.RemoveAll(filepath.Join(f.Dir, wiped.Name)))
	must.NoError(t, wiped.Start())
	must.NoError(t, behind.Start())
	// The two voters without the committed sheet 2 must not accept another sheet 2.
	rival := writeSheet(t, f, 2, "team,,balm,,,,,,,,1,5,serve")
	for range 3 {
		_, err := f.CtlAt([]string{behind.Public, wiped.Public}, "--timeout", "3s", "apply", rival)
		must.Error(t, err)
	}
	must.NoError(t, first.Start())
	eventually(t, "sheet 2 is still the first one", func() bool {
		_, err := f.Ctl("apply", path)
		return err == nil
	})
}
