package escrow

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestFence(t *testing.T) {
	fence := int(FenceTime.Seconds())
	cases := []struct {
		name        string
		lenderHeard int            // when the lender was last heard
		others      map[string]int // when other entries were last heard, or known to be down
		now         int
		fenced      bool
	}{
		{"lender heard, all others silent", 10, map[string]int{"e2": 0}, 10 + fence - 1, false},
		{"alone", 0, map[string]int{"e2": 0}, fence, true},
		{"cut off together with all others", 0, map[string]int{"e2": 100, "e3": 95}, 100 + fence/2 - 1, false},
		{"one other silent", 0, map[string]int{"e2": 100, "e3": 100 - fence}, 100, true},
		{"only entry of its data centre", 0, nil, 1000, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			contacts := NewContacts(at(0))
			contacts.LenderHeard(at(c.lenderHeard))
			contacts.LenderHeard(at(c.lenderHeard - 5)) // the answer to an earlier request arrives later
			var names []string
			for name, heard := range c.others {
				contacts.EntryHeard(name, at(heard))
				names = append(names, name)
			}
			must.Eq(t, c.fenced, contacts.Fenced(at(c.now), names))
		})
	}
}

func TestGateRefusesPermitsAfterProcessWasFrozen(t *testing.T) {
	now := at(0)
	contacts := NewContacts(now)
	a := NewAccount("e1.1", func() {})
	a.SetGate(func(string) bool { return !contacts.Fenced(now, []string{"e2"}) })
	exchange(newBank(false, 10), a, now)
	must.True(t, a.TryAcquire(testWorkspace))
	now = at(60) // SetFenced has not been called since
	must.False(t, a.TryAcquire(testWorkspace))
}
