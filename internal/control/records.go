package control

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"laburnumrouter/internal/version/machine"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	// maxRecordBatch limits the records in one log entry.
	maxRecordBatch = 256
	// recordBatchWait is how long a batch waits for further records.
	recordBatchWait = time.Millisecond
	// maxConcurrentBatches limits the batches that are being committed at the same time.
	maxConcurrentBatches = 4
)

// recordBatcher commits global idempotency records in batches, so that one log entry carries the records of many requests.
type recordBatcher struct {
	control *Control
	queue   chan *pendingRecord
}

// pendingRecord is a record whose batch has not been committed yet.
type pendingRecord struct {
	record *laburnumv1.GlobalRecord
	done   chan recordResult // buffered for one
}

type recordResult struct {
	record *laburnumv1.GlobalRecord
	err    error
}

func newRecordBatcher(c *Control) *recordBatcher {
	return &recordBatcher{control: c, queue: make(chan *pendingRecord, maxRecordBatch)}
}

// run commits batches until ctx ends.
func (b *recordBatcher) run(ctx context.Context) error {
	slots := make(chan struct{}, maxConcurrentBatches)
	for {
		batch := b.collect(ctx)
		if batch == nil {
			return nil
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return nil
		}
		go func() {
			defer func() { <-slots }()
			b.commit(ctx, batch)
		}()
	}
}

// collect waits for a record and adds those that arrive within recordBatchWait, up to maxRecordBatch. It returns nil
// once ctx ends.
func (b *recordBatcher) collect(ctx context.Context) []*pendingRecord {
	var batch []*pendingRecord
	select {
	case p := <-b.queue:
		batch = append(batch, p)
	case <-ctx.Done():
		return nil
	}
	timer := time.NewTimer(recordBatchWait)
	defer timer.Stop()
	for len(batch) < maxRecordBatch {
		select {
		case p := <-b.queue:
			batch = append(batch, p)
		case <-timer.C:
			return batch
		}
	}
	return batch
}

func (b *recordBatcher) commit(ctx context.Context, batch []*pendingRecord) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	list := &laburnumv1.RecordBatch{}
	for _, p := range batch {
		list.Records = append(list.Records, p.record)
	}
	b.control.machine.read(func(m *machine.Machine) {
		if removed := m.WithoutExcessAnswers(list); removed > 0 {
			b.control.log.Warn("answers not kept: those of other requests take up the room", "answers", removed)
		}
	})
	cmd := &laburnumv1.Command{By: b.control.settings.Name, Kind: &laburnumv1.Command_Records{Records: list}}
	result, err := b.control.propose(ctx, cmd)
	if err == nil && len(result.Records) != len(batch) {
		err = Error.New("the log returned %d results for %d records", len(result.Records), len(batch))
	}
	for i, p := range batch {
		if err != nil {
			p.done <- recordResult{err: err}
			continue
		}
		p.done <- recordResult{record: result.Records[i]}
	}
}

// globalRecordServer implements GlobalRecordService, through which entries commit records.
type globalRecordServer struct {
	batcher *recordBatcher
}

// Commit implements GlobalRecordService.
func (s *globalRecordServer) Commit(ctx context.Context, req *laburnumv1.CommitRecordsRequest) (*laburnumv1.CommitRecordsResponse, error) {
	resp := &laburnumv1.CommitRecordsResponse{}
	var pending []*pendingRecord
	for _, r := range req.Records {
		p := &pendingRecord{record: r, done: make(chan recordResult, 1)}
		select {
		case s.batcher.queue <- p:
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeUnavailable, ctx.Err())
		}
		pending = append(pending, p)
	}
	for _, p := range pending {
		select {
		case result := <-p.done:
			if result.err != nil {
				return nil, connect.NewError(connect.CodeUnavailable, result.err)
			}
			resp.Records = append(resp.Records, result.record)
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeUnavailable, ctx.Err())
		}
	}
	return resp, nil
}
