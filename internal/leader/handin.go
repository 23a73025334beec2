package leader

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"laburnumrouter/internal/dispatch"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/version/accepted"
)

const (
	// stageCalls is the number of calls with chunks that are under way at a time.
	stageCalls = 2
	// maxOffers bounds how often a configuration is offered by a call that has no deadline. The log drops staged chunks beyond a bound.
	maxOffers = 32
)

// handIn sends one configuration to the leader in chunks: it offers the manifest, stages the chunks that the log lacks and offers the
// manifest again. What is staged stays, so that another hand-in of the same configuration, at any instance, goes on from there.
type handIn struct {
	client   *Client
	log      hclog.Logger
	call     *dispatch.Call // has the whole configuration
	manifest *accepted.Manifest
	parts    *accepted.Parts
	// mayHaveRun is set once an offer has no answer: the configuration may be in force.
	mayHaveRun bool
}

// putConfig sends a configuration to the leader: in chunks, or whole if it is small.
func (c *Client) putConfig(ctx context.Context, call *dispatch.Call) *dispatch.Reply {
	config := call.Config
	if len(config.Raw) < dispatch.MinChunkedBytes {
		reply, _ := c.forward(ctx, call)
		return reply
	}
	if err := config.Check(); err != nil {
		return &dispatch.Reply{Outcome: dispatch.Invalid, Reason: err.Error()}
	}
	began := time.Now()
	manifest, parts, err := config.Split()
	if err != nil {
		return &dispatch.Reply{Outcome: dispatch.Invalid, Reason: err.Error()}
	}
	h := &handIn{
		client: c, log: c.log.With("request", call.RequestID, "version", config.Version), call: call, manifest: manifest, parts: parts,
	}
	h.info("configuration received", "bytes", len(config.Raw), "chunks", len(manifest.Chunks))
	reply := h.run(ctx)
	h.info("configuration handed in", "outcome", reply.Outcome, "reason", reply.Reason, "took", time.Since(began))
	return reply
}

// info logs a step, within a limit.
func (h *handIn) info(message string, fields ...any) {
	if omitted, ok := h.client.handIns.Allow(time.Now()); ok {
		h.log.Info(message, append(fields, "omitted", omitted)...)
	}
}

// run offers and stages until the leader has decided or the call can't go on.
func (h *handIn) run(ctx context.Context) *dispatch.Reply {
	for range maxOffers {
		reply := h.offer(ctx)
		switch {
		case reply.Whole:
			return h.sendWhole(ctx)
		case len(reply.Missing) == 0:
			return h.settle(reply)
		}
		refusal := h.stage(ctx, reply.Missing)
		switch {
		case refusal == nil:
		case refusal.Whole:
			return h.sendWhole(ctx)
		default:
			return h.settle(refusal)
		}
	}
	return h.settle(failedReply(false, Error.New("the log didn't keep the chunks of the configuration")))
}

// offer sends the manifest.
func (h *handIn) offer(ctx context.Context) *dispatch.Reply {
	began := time.Now()
	reply, mayHaveRun := h.client.forward(ctx, &dispatch.Call{Op: dispatch.OpPutConfig, RequestID: h.call.RequestID, Manifest: h.manifest})
	h.mayHaveRun = h.mayHaveRun || mayHaveRun
	h.info("configuration offered", "outcome", reply.Outcome, "missing", len(reply.Missing), "whole", reply.Whole, "took", time.Since(began))
	return reply
}

// sendWhole sends the configuration in one call, as leaders of earlier versions and logs of earlier formats take it.
func (h *handIn) sendWhole(ctx context.Context) *dispatch.Reply {
	reply, mayHaveRun := h.client.forward(ctx, h.call)
	h.mayHaveRun = h.mayHaveRun || mayHaveRun
	return h.settle(reply)
}

// staging counts what became of the calls that stage chunks.
type staging struct {
	mu            sync.Mutex
	calls, staged int
	bytes         int
	size          int             // as ledger.ChunkBytes counts it
	refusal       *dispatch.Reply // nil if no call was refused; wholeWanted if more is missing than can be staged
}

func (s *staging) begin(chunks []accepted.Chunk) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	for i := range chunks {
		s.bytes += len(chunks[i].Data)
		s.size += ledger.ChunkBytes(&chunks[i])
	}
}

// end records an answer. After one that is uncertain, the next offer tells whether the chunks are staged.
func (s *staging) end(r *dispatch.Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.Outcome == dispatch.OK:
		s.staged++
	case r.Outcome != dispatch.OutcomeUnknown:
		s.refusal = r
	}
}

func (s *staging) refused() *dispatch.Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusal
}

// stage sends chunks. It returns the reply that ends the hand-in or asks for the whole configuration, or nil if the manifest is to be
// offered again.
func (h *handIn) stage(ctx context.Context, missing [][]byte) *dispatch.Reply {
	began, state := time.Now(), &staging{}
	var group errgroup.Group
	group.SetLimit(stageCalls)
	for len(missing) > 0 && ctx.Err() == nil && state.refused() == nil {
		chunks, err := h.nextChunks(missing)
		if err != nil {
			return failedReply(false, err)
		}
		missing = missing[len(chunks):]
		if state.begin(chunks); state.size > ledger.MaxStagedBytes {
			state.end(wholeWanted())
			break
		}
		group.Go(func() error {
			reply, _ := h.client.forward(ctx, &dispatch.Call{Op: dispatch.OpStageConfig, RequestID: h.call.RequestID, Chunks: chunks})
			state.end(reply)
			return nil
		})
	}
	_ = group.Wait() // no call returns an error
	h.info("configuration staged", "bytes", state.bytes, "calls", state.calls, "answered", state.staged, "took", time.Since(began))
	if err := ctx.Err(); err != nil && state.refusal == nil {
		return failedReply(false, Error.Wrap(err))
	}
	return state.refusal
}

// nextChunks returns the first of the missing chunks, as many as one call holds.
func (h *handIn) nextChunks(missing [][]byte) ([]accepted.Chunk, error) {
	var chunks []accepted.Chunk
	room := dispatch.MaxStageBytes
	for _, digest := range missing {
		chunk, err := h.parts.Chunk(digest)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		if room -= len(chunk.Data); room < 0 && len(chunks) > 0 {
			break
		}
		chunks = append(chunks, *chunk)
	}
	return chunks, nil
}

// settle returns the reply to the operator. A refusal isn't certain if an offer without an answer may have been carried out.
func (h *handIn) settle(reply *dispatch.Reply) *dispatch.Reply {
	switch reply.Outcome {
	case dispatch.OK, dispatch.Conflict, dispatch.OutcomeUnknown:
		return reply
	}
	if !h.mayHaveRun {
		return reply
	}
	return &dispatch.Reply{Outcome: dispatch.OutcomeUnknown, Leader: reply.Leader, Reason: "an earlier attempt may have been accepted: " + reply.Reason}
}

// wholeWanted stands for the answer of a leader that doesn't take configurations in chunks.
func wholeWanted() *dispatch.Reply {
	return &dispatch.Reply{Outcome: dispatch.Unavailable, Whole: true}
}

// understood returns a leader's reply to a call, or wholeWanted if the leader doesn't know calls with chunks.
func understood(call *dispatch.Call, reply *dispatch.Reply) *dispatch.Reply {
	if call.InChunks() && reply.Outcome == dispatch.Invalid && !reply.Chunked {
		return wholeWanted()
	}
	return reply
}
