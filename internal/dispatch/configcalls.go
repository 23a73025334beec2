package dispatch

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"time"

	"golang.org/x/sync/singleflight"

	"laburnumrouter/internal/process/logging"
	"laburnumrouter/internal/process/replica"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/version/accepted"
)

const (
	// MinChunkedBytes is the size as sent from which on a configuration goes to the leader and through the log in chunks. A smaller one
	// is no larger than one call with chunks.
	MinChunkedBytes = 16 << 10
	// MaxStageBytes bounds the compressed chunks of one call or command; a single larger chunk goes alone. At 2 Mbit/s such a call takes
	// some 200 ms.
	MaxStageBytes = 32 << 10
)

// maxFormatChecks bounds how often the members are asked for their format before a configuration that replaces another. Together the
// checks take less time than operators wait for an answer.
const maxFormatChecks = 3

// configCalls shares the work of calls that hand in the same configuration.
type configCalls struct {
	decisions singleflight.Group
	// staging holds the chunks that are being proposed. Guarded by engine.mu.
	staging map[accepted.Digest]chan struct{}
	// assembling has a slot for the one configuration that is assembled at a time, as each takes a multiple of its size in memory.
	assembling chan struct{}
	// lines limits the lines about chunks.
	lines logging.Limit
}

// logChunks logs a step of a configuration in chunks, within a limit.
func (s *session) logChunks(message string, fields ...any) {
	if omitted, ok := s.configCalls.lines.Allow(time.Now()); ok {
		s.log.Info(message, append(fields, "omitted", omitted)...)
	}
}

// putConfig decides a configuration that a call has whole or as a manifest. One that is too large for the memory or the disk of this
// instance is rejected before it is committed: once it is in force, every replica holds it. Calls with the same content share one
// proposal.
func (s *session) putConfig(ctx context.Context, c *Call) (*Reply, error) {
	m := c.Manifest
	if c.Config != nil {
		sent := c.Config.Digest()
		m = &accepted.Manifest{Version: c.Config.Version, Sent: sent[:], SentBytes: len(c.Config.Raw)}
		// An invalid one is rejected whatever its version is.
		if err := c.Config.Check(); err != nil {
			return &Reply{Outcome: Invalid, Reason: err.Error()}, nil
		}
	} else if err := m.Check(); err != nil {
		return &Reply{Outcome: Invalid, Reason: err.Error()}, nil
	}
	if reply, err := s.decidedConfig(m); reply != nil || err != nil {
		return reply, err
	}
	if refusal := s.refuseConfig(int64(m.SentBytes)); refusal != nil {
		return refusal, nil
	}
	if s.configured() {
		// Before FormatPlaces, waiting tasks rest whose queue the new configuration names otherwise.
		for range maxFormatChecks {
			if s.needFormat(ledger.FormatPlaces) {
				break
			}
		}
	}
	key := fmt.Sprintf("%d %x %d %x", m.Version, m.Sent, m.Bytes, sha256.Sum256(bytes.Join(m.Chunks, nil)))
	shared := s.configCalls.decisions.DoChan(key, func() (any, error) {
		var reply *Reply
		err := Error.New("unexpected error")
		s.contain("configuration", func() { reply, err = s.decideConfig(c, m) })
		return reply, err
	})
	select {
	case r := <-shared:
		if r.Err != nil {
			return nil, r.Err
		}
		reply := *r.Val.(*Reply) // each caller completes its own
		return &reply, nil
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	}
}

// configured reports whether a configuration is in force.
func (s *session) configured() bool {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	return s.engine.ledger.Index() != nil
}

// decideConfig decides a configuration that m identifies. Another call may have done so just before.
func (s *session) decideConfig(c *Call, m *accepted.Manifest) (*Reply, error) {
	if reply, err := s.decidedConfig(m); reply != nil || err != nil {
		return reply, err
	}
	if c.Config != nil {
		return s.putWhole(c)
	}
	return s.putManifest(c.RequestID, m)
}

// decidedConfig answers a configuration whose version is in force or overtaken from the state, or returns nil if it is higher.
func (s *session) decidedConfig(m *accepted.Manifest) (*Reply, error) {
	s.engine.mu.Lock()
	verdict := s.engine.ledger.Decided(m)
	s.engine.mu.Unlock()
	if verdict == "" {
		return nil, nil
	}
	if !s.leaderLease.Held() {
		return nil, replica.ErrNotLeader // a new leader may have committed changes while the state was read
	}
	return verdictReply(verdict), nil
}

// verdictReply returns the reply to a configuration that the log has decided.
func verdictReply(v ledger.Verdict) *Reply {
	switch v {
	case ledger.Accepted, ledger.Superseded:
		return &Reply{Outcome: OK, Reason: string(v)}
	case ledger.Conflict:
		return &Reply{Outcome: Conflict, Reason: "other content is in force under this version"}
	case ledger.Malformed:
		return &Reply{Outcome: Invalid, Reason: "the chunks don't make up the configuration of the manifest"}
	}
	return &Reply{Outcome: OutcomeUnknown, Reason: fmt.Sprintf("the log's verdict is %q", v)}
}

// putWhole commits a valid configuration that was sent whole.
func (s *session) putWhole(c *Call) (*Reply, error) {
	if len(c.Config.Raw) >= MinChunkedBytes && s.takesChunks() {
		if reply, err := s.putChunked(c.RequestID, c.Config); reply != nil || err != nil {
			return reply, err
		}
	}
	command, err := ledger.ConfigCommand(c.Config, s.format())
	if err != nil {
		return nil, err
	}
	if refusal := s.refuseStored(command); refusal != nil {
		return refusal, nil
	}
	result, err := s.proposeConfig(c.RequestID, c.Config.Version, len(c.Config.Raw), command.ConfigBytes(), command)
	if err != nil {
		return nil, err
	}
	return verdictReply(result.Config), nil
}

// putManifest commits the configuration that a manifest describes, or answers which chunks the log lacks.
func (s *session) putManifest(request string, m *accepted.Manifest) (*Reply, error) {
	if !s.takesChunks() {
		return &Reply{Outcome: Unavailable, Reason: "the log takes no chunks", Whole: true}, nil
	}
	if refusal := s.refuseAssembly(m); refusal != nil {
		return refusal, nil
	}
	config, missing, err := s.assemble(m)
	if err != nil {
		return &Reply{Outcome: Invalid, Reason: err.Error()}, nil
	}
	if refusal := s.refuseChunked(m, 0); refusal != nil {
		return refusal, nil
	}
	if len(missing) > 0 {
		s.logChunks("configuration lacks chunks", "request", request, "version", m.Version, "missing", len(missing), "chunks", len(m.Chunks))
		return missingReply(missing), nil
	}
	if err := config.Check(); err != nil {
		return &Reply{Outcome: Invalid, Reason: err.Error()}, nil
	}
	result, err := s.proposeConfig(request, m.Version, m.SentBytes, manifestEntryBytes(m), &ledger.Command{Manifest: m})
	if err != nil {
		return nil, err
	}
	if result.Config == ledger.Incomplete {
		return missingReply(result.Missing), nil
	}
	return verdictReply(result.Config), nil
}

// assemble returns the configuration that a manifest describes, or the digests of the chunks that the log lacks. It takes long for a
// large one and leaves the state unlocked meanwhile; the result is kept for the entry of the manifest.
func (s *session) assemble(m *accepted.Manifest) (c *accepted.Config, missing [][]byte, err error) {
	s.configCalls.assembling <- struct{}{}
	defer func() { <-s.configCalls.assembling }()
	s.engine.mu.Lock()
	assemble, missing := s.engine.ledger.Assembler(m)
	s.engine.mu.Unlock()
	if len(missing) > 0 {
		return nil, missing, nil
	}
	if c, err = assemble(); err != nil {
		return nil, nil, err
	}
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.engine.ledger.Keep(m, c)
	return c, nil, nil
}

// takesChunks reports whether configurations go through the log in chunks.
func (s *session) takesChunks() bool {
	return !s.limits.WholeConfigs && s.needFormat(ledger.FormatConfigChunks)
}

func missingReply(missing [][]byte) *Reply {
	return &Reply{Outcome: Unavailable, Reason: "chunks of the configuration are missing", Missing: missing, RetryAfterMS: noConfigRetryMS}
}

// maxRestages bounds how often the chunks of one configuration are staged for a call that has it whole.
const maxRestages = 3

// putChunked commits a configuration that was sent whole in chunks, so that no entry of the log is large. It returns nil if more is
// missing than can be staged at a time.
func (s *session) putChunked(request string, config *accepted.Config) (*Reply, error) {
	m, parts, err := config.Split()
	if err != nil {
		return &Reply{Outcome: Invalid, Reason: err.Error()}, nil
	}
	var reply *Reply
	for range maxRestages {
		if reply, err = s.putManifest(request, m); err != nil || len(reply.Missing) == 0 {
			return reply, err
		}
		chunks, size, err := takeChunks(parts, reply.Missing)
		if err != nil {
			return nil, err
		}
		if refusal := s.refuseChunked(m, size); refusal != nil {
			return refusal, nil
		}
		if size > ledger.MaxStagedBytes {
			return nil, nil
		}
		for len(chunks) > 0 {
			n := firstChunks(chunks)
			if refusal, err := s.stage(s.ctx, request, chunks[:n]); refusal != nil || err != nil {
				return refusal, err
			}
			chunks = chunks[n:]
		}
	}
	reply.Missing = nil
	return reply, nil
}

// takeChunks returns the chunks with the given digests, and their size in a snapshot.
func takeChunks(parts *accepted.Parts, digests [][]byte) (chunks []accepted.Chunk, size int64, err error) {
	for _, digest := range digests {
		chunk, err := parts.Chunk(digest)
		if err != nil {
			return nil, 0, Error.Wrap(err)
		}
		size += int64(ledger.ChunkBytes(chunk))
		chunks = append(chunks, *chunk)
	}
	return chunks, size, nil
}

// firstChunks returns how many of the first chunks go into one command.
func firstChunks(chunks []accepted.Chunk) int {
	size := 0
	for i := range chunks {
		if size += len(chunks[i].Data); size > MaxStageBytes && i > 0 {
			return i
		}
	}
	return len(chunks)
}

// manifestEntryBytes returns the approximate size of the entry of a manifest in the log.
func manifestEntryBytes(m *accepted.Manifest) int {
	const head, digest = 256, 48
	return head + digest*len(m.Chunks)
}
