package membership

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1000, 0)

func newTestTable() *Table {
	t := NewTable("entry-2", "dc1", 100)
	t.Add("entry-1", "dc1")
	t.Add("entry-3", "dc1")
	t.Add("entry-4", "dc2")
	return t
}

func heartbeat(name, dc string, incarnation uint64) Heartbeat {
	return Heartbeat{Name: name, DataCentre: dc, Incarnation: incarnation}
}

func TestSilentMembersAreSuspectedThenDead(t *testing.T) {
	tab := newTestTable()
	tab.Heard(heartbeat("entry-1", "dc1", 5), start)
	cases := []struct {
		after time.Duration
		want  Liveness
	}{
		{0, Alive},
		{SuspectAfter - 1, Alive},
		{SuspectAfter, Suspect},
		{DeadAfter, Dead},
	}
	for _, c := range cases {
		m, _ := tab.Get("entry-1")
		must.Eq(t, c.want, m.Liveness(start.Add(c.after)))
	}
	m, _ := tab.Get("entry-3")
	must.Eq(t, Unheard, m.Liveness(start))
}

func TestEarlierIncarnationIsStale(t *testing.T) {
	tab := newTestTable()
	tab.Heard(heartbeat("entry-1", "dc1", 5), start)
	v, known := tab.Heard(heartbeat("entry-1", "dc1", 4), start.Add(time.Hour))
	must.Eq(t, Stale, v)
	must.Eq(t, 5, known)
	m, _ := tab.Get("entry-1")
	must.Eq(t, Dead, m.Liveness(start.Add(time.Hour)))

	v, _ = tab.Heard(heartbeat("entry-1", "dc1", 6), start.Add(time.Hour))
	must.Eq(t, Restarted, v)
}

func TestRestartWithClockSetBackIsAcceptedAfterRefute(t *testing.T) {
	peer := newTestTable()
	peer.Heard(heartbeat("entry-1", "dc1", 500), start)
	restarted := NewTable("entry-1", "dc1", 300)
	_, known := peer.Heard(heartbeat("entry-1", "dc1", restarted.Incarnation()), start)
	must.True(t, restarted.Refute(known))
	v, _ := peer.Heard(heartbeat("entry-1", "dc1", restarted.Incarnation()), start)
	must.Eq(t, Restarted, v)
	must.False(t, restarted.Refute(known))
}

// TestHeartbeatOfUnlistedProcessIsIgnored covers a process that is reached at an outdated address: the settings do not
// list its name, or list it in another data centre.
func TestHeartbeatOfUnlistedProcessIsIgnored(t *testing.T) {
	tab := newTestTable()
	v, _ := tab.Heard(heartbeat("entry-9", "dc1", 1), start)
	must.Eq(t, Unlisted, v)
	v, _ = tab.Heard(heartbeat("entry-1", "dc2", 1), start)
	must.Eq(t, Unlisted, v)
}

func TestRelayIsTheLowestLiveName(t *testing.T) {
	tab := newTestTable()
	must.Eq(t, "entry-2", tab.Relay("dc1", start))
	must.Eq(t, "", tab.Relay("dc2", start))
	tab.Heard(heartbeat("entry-1", "dc1", 1), start)
	tab.Heard(heartbeat("entry-4", "dc2", 1), start)
	must.Eq(t, "entry-1", tab.Relay("dc1", start))
	must.Eq(t, "entry-4", tab.Relay("dc2", start))
	must.Eq(t, "entry-2", tab.Relay("dc1", start.Add(SuspectAfter)))
}

func TestAllPeersSilent(t *testing.T) {
	must.False(t, NewTable("entry-2", "dc1", 1).AllPeersSilent(start)) // the only entry of its data centre
	tab := newTestTable()
	must.True(t, tab.AllPeersSilent(start))
	tab.Heard(heartbeat("entry-4", "dc2", 1), start)
	must.True(t, tab.AllPeersSilent(start)) // members of another data centre do not count
	tab.Heard(heartbeat("entry-1", "dc1", 1), start)
	must.False(t, tab.AllPeersSilent(start))
	must.True(t, tab.AllPeersSilent(start.Add(DeadAfter)))
}
