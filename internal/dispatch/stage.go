package dispatch

import (
	"context"
	"time"

	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/version/accepted"
)

// stageConfig stages the chunks of a call.
func (s *session) stageConfig(ctx context.Context, c *Call) (*Reply, error) {
	if !s.takesChunks() {
		return &Reply{Outcome: Unavailable, Reason: "the log takes no chunks", Whole: true}, nil
	}
	for i := range c.Chunks {
		if err := c.Chunks[i].Check(); err != nil {
			return &Reply{Outcome: Invalid, Reason: err.Error()}, nil
		}
	}
	refusal, err := s.stage(ctx, c.RequestID, c.Chunks)
	if refusal != nil || err != nil {
		return refusal, err
	}
	return &Reply{Outcome: OK}, nil
}

// stage commits those of the chunks that the log lacks, and waits for those that another call commits. It returns the reply that
// rejects them if there is no room.
func (s *session) stage(ctx context.Context, request string, chunks []accepted.Chunk) (*Reply, error) {
	own, others, bytes := s.claimChunks(chunks)
	if refusal, err := s.stageOwn(request, own, bytes); refusal != nil || err != nil {
		return refusal, err
	}
	for _, done := range others {
		select {
		case <-done:
		case <-ctx.Done():
			return nil, Error.Wrap(ctx.Err())
		}
	}
	return nil, nil
}

// stageOwn commits chunks that this call has claimed.
func (s *session) stageOwn(request string, own []accepted.Chunk, bytes int64) (*Reply, error) {
	if len(own) == 0 {
		return nil, nil
	}
	defer s.releaseChunks(own)
	release, refusal := s.reserveStaged(bytes)
	if refusal != nil {
		return refusal, nil
	}
	defer release()
	began := time.Now()
	_, err := s.propose(&ledger.Command{Chunks: own})
	s.logChunks("configuration chunks staged", "request", request, "chunks", len(own), "bytes", bytes, "took", time.Since(began), "error", err)
	return nil, err
}

// claimChunks returns the chunks that this call has to commit and their size in a snapshot, and for each that another call commits
// the channel that is closed when it is done.
func (s *session) claimChunks(chunks []accepted.Chunk) (own []accepted.Chunk, others []chan struct{}, bytes int64) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	for i := range chunks {
		digest := chunks[i].Digest
		if len(s.engine.ledger.MissingChunks(&accepted.Manifest{Chunks: [][]byte{digest}})) == 0 {
			continue
		}
		if done := s.configCalls.staging[accepted.Digest(digest)]; done != nil {
			others = append(others, done)
			continue
		}
		s.configCalls.staging[accepted.Digest(digest)] = make(chan struct{})
		own = append(own, chunks[i])
		bytes += int64(ledger.ChunkBytes(&chunks[i]))
	}
	return own, others, bytes
}

func (s *session) releaseChunks(own []accepted.Chunk) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	for i := range own {
		digest := accepted.Digest(own[i].Digest)
		close(s.configCalls.staging[digest])
		delete(s.configCalls.staging, digest)
	}
}

// reserveStaged sets room aside for chunks until release is called, or returns the reply that rejects them.
func (s *session) reserveStaged(size int64) (release func(), refusal *Reply) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	if limit := s.limits.StateBytes; limit > 0 && s.stateBytesLocked()+size > limit {
		return nil, overloadedReply(OpPutConfig, errConfigFull)
	}
	s.proposedBytes += size
	return func() {
		s.engine.mu.Lock()
		defer s.engine.mu.Unlock()
		s.proposedBytes -= size
	}, nil
}
