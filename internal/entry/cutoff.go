package entry

import (
	"net/http"
	"time"

	"laburnumrouter/internal/process/directory"
	"laburnumrouter/internal/request/admission"
	"laburnumrouter/internal/request/outcome"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	// cutOffAfter is the time without news of the control quorum after which the data centre counts as cut off.
	cutOffAfter = 6 * time.Second
	// cutOffRetryAfter is the Retry-After value for workspaces that are refused while the data centre is cut off.
	cutOffRetryAfter = 5 * time.Second
	// startupHeartbeatWait is how long a started entry waits for the first heartbeats of the other entries of its data centre.
	startupHeartbeatWait = 2 * exchangeInterval
	// startingRetryAfter is the Retry-After value for requests that come before the entry is ready.
	startingRetryAfter = time.Second
)

// cutOff reports whether this entry has had no news of the control quorum for cutOffAfter, or none since its start. It may
// then lack withdrawals of keys made elsewhere.
func (e *Entry) cutOff(now time.Time) bool {
	return !e.quorumContact.Established() || e.quorumContact.Age(now) >= cutOffAfter
}

// refuseCutOff refuses a request while the data centre is cut off, if the configuration sets the policy "refuse" for the
// request's workspace.
func (e *Entry) refuseCutOff(t *admission.Ticket, now time.Time) *outcome.Refusal {
	if !e.cutOff(now) {
		return nil
	}
	workspace := e.store.View().Workspace(t.Workspace)
	if workspace.GetWhenCutOff() != laburnumv1.CutOffPolicy_CUT_OFF_POLICY_REFUSE {
		return nil
	}
	refusal := outcome.Refuse(http.StatusServiceUnavailable, "cut-off",
		"data centre %s is cut off and workspace %s is not served meanwhile", e.settings.DataCentre, t.Workspace)
	if t.RunsAtMostOnce() {
		refusal.Outcome = outcome.Unknown // an earlier request with the key may have run
	}
	return refusal.WithRetryAfter(cutOffRetryAfter)
}

// readiness returns what the load balancer is told. An entry is ready once its configuration is not older than
// what the live entries of its data centre have in force. An entry that hears neither the quorum nor any other
// entry of its data centre is isolated and not ready, unless most instances of the data centre announce themselves
// to it: in that case the other entries are presumably down, and this one is not isolated.
func (e *Entry) readiness() (bool, string) {
	now := e.now()
	if reason := e.startupBlocker(now); reason != "" {
		return false, reason
	}
	if e.isolated(now) {
		return false, "isolated from the data centre"
	}
	return true, ""
}

// startupBlocker returns why a started entry must not act on its configuration yet, or "" once it has caught up.
// An entry that has caught up stays so.
func (e *Entry) startupBlocker(now time.Time) string {
	if e.caughtUp.Load() {
		return ""
	}
	view := e.store.View()
	switch {
	case view.SheetNumber == 0:
		return "no configuration yet"
	case now.Sub(e.started) < startupHeartbeatWait && e.members.AnyUnheard():
		return "has not heard its data centre yet"
	case view.Index < e.members.HighestInForce(now):
		return "configuration is behind the data centre"
	}
	e.caughtUp.Store(true)
	return ""
}

// refuseStarting refuses requests that come before the entry has caught up.
func (e *Entry) refuseStarting(keyed bool) *outcome.Refusal {
	reason := e.startupBlocker(e.now())
	if reason == "" {
		return nil
	}
	refusal := outcome.Refuse(http.StatusServiceUnavailable, "starting", "this entry is not ready: %s", reason)
	if keyed {
		refusal.Outcome = outcome.Unknown // an earlier request with the key may have run
	}
	return refusal.WithRetryAfter(startingRetryAfter)
}

func (e *Entry) isolated(now time.Time) bool {
	return e.cutOff(now) && e.members.AllPeersSilent(now) && !e.mostInstancesAnnounce(now)
}

// mostInstancesAnnounce reports whether more than half of the data centre's assigned instances announce themselves to
// this entry.
func (e *Entry) mostInstancesAnnounce(now time.Time) bool {
	known, heard := 0, 0
	view := e.store.View()
	for pool := range view.Pools() {
		for _, a := range view.Assigned(pool) {
			if a.DataCentre != e.settings.DataCentre {
				continue
			}
			known++
			if i, ok := e.directory.Get(a.Instance); ok && now.Sub(i.Heard) < directory.ViewLifetime {
				heard++
			}
		}
	}
	return 2*heard > known
}
