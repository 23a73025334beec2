package failure

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/test/harness"
)

// TestCutOffDataCentreKeepsServing cuts dc2 off from the quorum. It must keep serving soap and refuse oils as the sheet
// says. Once the cut heals it must adopt the changes accepted meanwhile and never revert them.
func TestCutOffDataCentreKeepsServing(t *testing.T) {
	t.Parallel()
	f := startFleet(t, twoDataCentres)
	remote := harness.In("dc2", f.Entries)
	eventually(t, "oils is served", func() bool { return send(remote[0], request{workspace: "oils"}).answered() })
	// A data centre can't serve on its own before it has been granted permits. Until then its requests go to the other one.
	eventually(t, "dc2 runs soap itself", func() bool {
		return send(remote[0], request{workspace: "soap"}).answered() && standinCounts(t, f.Standins[1]).Requests > 0
	})

	f.Cut("dc2")
	for _, e := range remote {
		eventually(t, "oils is refused in dc2", func() bool {
			a := send(e, request{workspace: "oils"})
			return a.notRun() && a.status == http.StatusServiceUnavailable
		})
		must.True(t, send(e, request{workspace: "soap"}).answered())
		must.True(t, e.Ready())
	}
	must.True(t, send(f.Entries[0], request{workspace: "oils"}).answered())

	// A key that is withdrawn during the cut stops working soon in dc1, and in dc2 once the cut heals.
	_, err := f.Ctl("key", "withdraw", digest("soap"))
	must.NoError(t, err)
	for _, e := range harness.In("dc1", f.Entries) {
		eventually(t, "the key is refused in dc1", func() bool { return send(e, request{workspace: "soap"}).status == http.StatusUnauthorized })
	}
	f.Heal("dc2")
	for _, e := range remote {
		eventually(t, "the key is refused in dc2", func() bool { return send(e, request{workspace: "soap"}).status == http.StatusUnauthorized })
		eventually(t, "oils is served again", func() bool { return send(e, request{workspace: "oils"}).answered() })
	}
	// A later sheet that still lists the key does not restore it.
	apply(t, f, 2)
	time.Sleep(2 * time.Second)
	for _, e := range f.Entries {
		must.Eq(t, http.StatusUnauthorized, send(e, request{workspace: "soap"}).status)
	}
}

// TestOneWayCutCountsAsCutOff blocks the links from dc2 to dc1 only. Both data centres must keep serving and keep the
// limit, dc2 must behave as cut off, and it must recover once the cut heals.
func TestOneWayCutCountsAsCutOff(t *testing.T) {
	t.Parallel()
	f := startFleet(t, twoDataCentres)
	// A data centre can't serve on its own before it has been granted permits.
	eventually(t, "dc2 runs soap itself", func() bool {
		return send(f.Entries[2], request{workspace: "soap"}).answered() && standinCounts(t, f.Standins[1]).Requests > 0
	})
	load := startLoad(f.Entries, 30, func(int) request { return request{workspace: "soap", ms: 100} })
	f.CutOutgoing("dc2")
	for _, e := range harness.In("dc2", f.Entries) {
		eventually(t, "oils is refused in dc2", func() bool { return send(e, request{workspace: "oils"}).notRun() })
	}
	for _, e := range f.Entries {
		eventually(t, "soap is served at "+e.Name, func() bool { return send(e, request{workspace: "soap"}).answered() })
	}
	apply(t, f, 2, "key,,,,,oils,,,,,,,,"+digest("second"))
	f.Heal("dc2")
	for _, e := range f.Entries {
		eventually(t, "sheet 2 is in force at "+e.Name, func() bool { return send(e, request{workspace: "second"}).answered() })
	}
	answers := load.stop()
	must.LessEq(t, limit, peakConcurrency(t, f, "soap"))
	t.Log(summary(answers))
}

// TestLeavingServerGetsNoNewRequests has a server announce that it leaves while all control instances are down. Once
// viewLifetime is over it must get no new requests, and no request may fail.
func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	f := startFleet(t, twoDataCentres)
	for _, c := range f.Controls {
		must.NoError(t, c.Kill())
	}
	load := startLoad(f.Entries, 8, func(int) request { return request{workspace: "soap", ms: 5} })
	standin := f.Standins[0]
	eventually(t, "the server gets requests", func() bool { return standinCounts(t, standin).ByServer["dc1-i1"] > 0 })
	resp, err := http.Post("http://"+standin.Public+"/standin/leave/dc1-i1", "", nil)
	must.NoError(t, err)
	resp.Body.Close()
	time.Sleep(viewLifetime)
	before := standinCounts(t, standin)
	time.Sleep(2 * time.Second)
	after := standinCounts(t, standin)
	answers := load.stop()
	must.Eq(t, before.ByServer["dc1-i1"], after.ByServer["dc1-i1"])
	must.Greater(t, before.Requests, after.Requests)
	must.Eq(t, 0, count(answers, func(a answer) bool { return a.err != nil }))
}

// TestGracefulStopCutsNoRequests stops an entry under load. The requests in progress must complete.
func TestGracefulStopCutsNoRequests(t *testing.T) {
	t.Parallel()
	f := startFleet(t, twoDataCentres)
	stopping := f.Entries[0]
	load := startLoad([]*harness.Node{stopping}, 6, func(int) request { return request{workspace: "soap", ms: 300} })
	time.Sleep(time.Second)
	must.NoError(t, stopping.Stop())
	answers := load.stop()
	// New connections are refused once the listener is closed; requests in progress must not be cut.
	cut := count(answers, func(a answer) bool { return a.err != nil && !connectionRefused(a.err) })
	must.Eq(t, 0, cut)
	must.Eq(t, 0, standinCounts(t, f.Standins[0]).Cut)
	must.Greater(t, 6, count(answers, answer.answered))
}
