package entry

import (
	"context"
	"sort"
	"time"

	"laburnumrouter/internal/connection/peer"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	fetchWait   = time.Second
	callTimeout = time.Second
	retryPause  = 200 * time.Millisecond
	// maxSourceQuorumAge: the next source of changes is tried if a source's quorum age, the time since its last news of the
	// control quorum, has reached this.
	maxSourceQuorumAge = 3 * time.Second
)

// followFeed keeps the store up to date: from the relay of the data centre, else from a control instance,
// else from any entry of the data centre. Other sources are tried only when a better one fails or has lost contact
// with the quorum.
func (e *Entry) followFeed(ctx context.Context) error {
	for ctx.Err() == nil {
		if e.fetchFromAny(ctx) {
			continue
		}
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
		}
	}
	return nil
}

// fetchFromAny tries the sources in turn. It returns true once one has answered that is in contact with the quorum.
func (e *Entry) fetchFromAny(ctx context.Context) bool {
	for _, source := range e.feedSources() {
		age, err := e.fetch(ctx, source)
		if err != nil {
			e.log.Debug("feed source failed", "source", source.Name, "error", err)
			continue
		}
		if age < maxSourceQuorumAge {
			return true
		}
	}
	return false
}

// feedSources returns the processes to fetch from, best first. The relay fetches changes from the control
// instances, those of its own data centre first; the other entries fetch them from the relay.
func (e *Entry) feedSources() []*peer.Peer {
	relay := e.members.Relay(e.settings.DataCentre, e.now())
	var first, rest []*peer.Peer
	for _, p := range e.entries {
		if p.DataCentre != e.settings.DataCentre {
			continue
		}
		if p.Name == relay {
			first = append(first, p)
			continue
		}
		rest = append(rest, p)
	}
	controls := append([]*peer.Peer(nil), e.controls...)
	sort.SliceStable(controls, func(i, j int) bool {
		return controls[i].DataCentre == e.settings.DataCentre && controls[j].DataCentre != e.settings.DataCentre
	})
	return append(append(first, controls...), rest...)
}

// fetch asks one source for changes, applies them, and returns the source's quorum age.
func (e *Entry) fetch(ctx context.Context, source *peer.Peer) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchWait+callTimeout)
	defer cancel()
	asked := e.now()
	resp, err := source.Feed.Fetch(ctx, &laburnumv1.FetchRequest{
		AfterIndex: e.store.View().Index,
		WaitMs:     uint32(fetchWait.Milliseconds()),
		Node:       e.settings.Name,
	})
	if err != nil {
		return 0, err
	}
	age := time.Duration(resp.QuorumAgeMs) * time.Millisecond
	// The age is counted from the time of the request, as the answer may have been under way for long.
	e.quorumContact.Seen(asked.Add(-age))
	err = e.applyFetched(resp, source.Name)
	e.escrowMember.refresh(e.now())
	return age, err
}

func (e *Entry) applyFetched(resp *laburnumv1.FetchResponse, source string) error {
	before := e.store.View().SheetNumber
	var err error
	if resp.Snapshot != nil {
		err = e.store.Restore(resp.Snapshot)
	} else {
		err = e.store.Advance(resp.Changes, resp.Index)
	}
	if now := e.store.View(); now.SheetNumber != before {
		e.log.Info("configuration in force", "sheet", now.SheetNumber, "index", now.Index, "source", source)
	}
	return err
}
