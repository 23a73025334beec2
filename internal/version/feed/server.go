package feed

import (
	"context"
	"time"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// maxFetchWait limits how long a fetch waits for changes.
const maxFetchWait = 30 * time.Second

// Server implements FeedService with the changes of a store.
type Server struct {
	Store *Store
	// QuorumAge returns the time since the last contact with the control quorum that this process knows of.
	QuorumAge func() time.Duration
}

// Fetch implements FeedService.
func (s *Server) Fetch(ctx context.Context, req *laburnumv1.FetchRequest) (*laburnumv1.FetchResponse, error) {
	wait := min(time.Duration(req.WaitMs)*time.Millisecond, maxFetchWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	resp := s.Store.Fetch(ctx, req.AfterIndex)
	resp.QuorumAgeMs = uint64(s.QuorumAge().Milliseconds())
	return resp, nil
}
