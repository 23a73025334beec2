package dispatch

import (
	"bytes"
	"context"
	"sync"
	"time"

	"laburnumrouter/internal/process/replica"
	"laburnumrouter/internal/request/ledger"
)

const (
	// maxEntriesInFlight limits the uncommitted log entries of a batcher. A part that is ready while one entry is being
	// committed goes at once; under load, parts wait for at most one commit and share entries: some 200 a second at 10 ms a
	// commit.
	maxEntriesInFlight = 2
	// maxPartsPerEntry limits one entry; parts beyond it go into the next one.
	maxPartsPerEntry = 512
	// maxSpecBytesPerEntry limits the specs in one entry to the size of the four largest jobs, and maxSubmitBytesPerEntry all of
	// its submissions.
	maxSpecBytesPerEntry   = 256 << 10
	maxSubmitBytesPerEntry = 1 << 20
)

// part is a command that may share a log entry with others. It has only the fields Submit, Cancel, CancelsAt, Begun,
// Unanswered, Ends and Starts.
type part struct {
	command *ledger.Command
	// ends, if set, returns the ends of the command when it is proposed.
	ends func() []ledger.End
	// result and err are set before done is closed.
	result *ledger.Result
	err    error
	done   chan struct{}
}

// batcher commits parts that are ready together in one log entry.
type batcher struct {
	session *session

	mu       sync.Mutex
	queued   [classes][]*part
	inFlight int
}

// Classes of parts. If not all fit into the next entry, those of a lower class go first.
const (
	classEnds = iota // ends free capacity, and servers wait for their acknowledgement
	classStarts
	classCallers
	classes
)

func (p *part) class() int {
	switch {
	case p.ends != nil:
		return classEnds
	case len(p.command.Starts) > 0 || len(p.command.Begun) > 0 || len(p.command.Unanswered) > 0:
		return classStarts
	}
	return classCallers
}

// commit commits a part and returns its result.
func (b *batcher) commit(c *ledger.Command) (*ledger.Result, error) {
	if (c.Submit != nil || c.Cancel != "") && !b.session.listsAllowed() {
		return b.session.propose(c) // members of an earlier version ignore lists of submissions
	}
	return b.commitPart(&part{command: c, done: make(chan struct{})})
}

// commitEnds commits a command with the ends that the function returns when the command is proposed; c then has them.
func (b *batcher) commitEnds(c *ledger.Command, ends func() []ledger.End) error {
	_, err := b.commitPart(&part{command: c, ends: ends, done: make(chan struct{})})
	return err
}

func (b *batcher) commitPart(p *part) (*ledger.Result, error) {
	b.mu.Lock()
	b.queued[p.class()] = append(b.queued[p.class()], p)
	b.sendLocked()
	b.mu.Unlock()
	<-p.done // propose ends within proposeTimeout, and at once when the session ends
	return p.result, p.err
}

// sendLocked proposes the queued parts unless maxEntriesInFlight are uncommitted.
func (b *batcher) sendLocked() {
	for b.inFlight < maxEntriesInFlight {
		batch := b.takeLocked()
		if len(batch) == 0 {
			return
		}
		b.inFlight++
		go func() {
			b.propose(batch)
			b.mu.Lock()
			defer b.mu.Unlock()
			b.inFlight--
			b.sendLocked()
		}()
	}
}

// takeLocked removes the parts of the next entry from the queue.
func (b *batcher) takeLocked() []*part {
	var batch []*part
	specBytes, submitBytes := 0, 0
	for class := range b.queued {
		for len(b.queued[class]) > 0 && len(batch) < maxPartsPerEntry && specBytes <= maxSpecBytesPerEntry && submitBytes <= maxSubmitBytesPerEntry {
			p := b.queued[class][0]
			b.queued[class] = b.queued[class][1:]
			if s := p.command.Submit; s != nil {
				specBytes += len(s.Spec)
				submitBytes += s.CommandBytes()
			}
			batch = append(batch, p)
		}
	}
	return batch
}

// propose commits a batch in one entry.
func (b *batcher) propose(batch []*part) {
	err := replica.ErrNotLeader // after the end of the session nothing is proposed
	if b.session.ctx.Err() == nil {
		for _, p := range batch {
			if p.ends != nil {
				p.command.Ends = p.ends()
			}
		}
		var result *ledger.Result
		if result, err = b.session.propose(mergeParts(batch)); err == nil {
			err = splitResult(batch, result)
		}
	}
	for _, p := range batch {
		p.err = err
		close(p.done)
	}
}

// mergeParts returns a command with all parts of a batch. The parts were ready at the same time, so any order of them is
// correct.
func mergeParts(batch []*part) *ledger.Command {
	if len(batch) == 1 {
		return batch[0].command
	}
	all := &ledger.Command{}
	for _, p := range batch {
		if p.command.Submit != nil {
			all.Submits = append(all.Submits, p.command.Submit)
		}
		if p.command.Cancel != "" {
			all.Cancels = append(all.Cancels, p.command.Cancel)
		}
		all.CancelsAt = append(all.CancelsAt, p.command.CancelsAt...)
		all.Begun = append(all.Begun, p.command.Begun...)
		all.Unanswered = append(all.Unanswered, p.command.Unanswered...)
		all.Ends = append(all.Ends, p.command.Ends...)
		all.Starts = append(all.Starts, p.command.Starts...)
	}
	return all
}

// splitResult sets the results of the parts of a batch from that of their entry. Only the planner's part, one at a time, has
// starts, and no caller reads the ends of its own part.
func splitResult(batch []*part, all *ledger.Result) error {
	if len(batch) == 1 {
		batch[0].result = all
		if len(all.CancelsAt) > 0 {
			all.Cancel = all.CancelsAt[0]
		}
		return nil
	}
	submits, cancels, cancelsAt := all.Submits, all.Cancels, all.CancelsAt
	for _, p := range batch {
		p.result = &ledger.Result{}
		if p.command.Submit != nil {
			if len(submits) == 0 {
				return replica.ErrOutcomeUnknown
			}
			p.result.Submit, submits = submits[0], submits[1:]
		}
		if p.command.Cancel != "" {
			if len(cancels) == 0 {
				return replica.ErrOutcomeUnknown
			}
			p.result.Cancel, cancels = cancels[0], cancels[1:]
		}
		if len(p.command.CancelsAt) > 0 {
			if len(cancelsAt) == 0 {
				return replica.ErrOutcomeUnknown
			}
			p.result.Cancel, cancelsAt = cancelsAt[0], cancelsAt[1:]
		}
		if len(p.command.Starts) > 0 {
			p.result.Started = all.Started
		}
	}
	return nil
}

// listsAllowed reports whether entries may hold lists of submissions and cancellations.
func (s *session) listsAllowed() bool { return s.format() >= ledger.FormatLists }

// format returns the format of commands in force.
func (s *session) format() int {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	return s.engine.ledger.Format
}

// raiseFormat commits the newest format of commands that all members are known to understand, until it is the newest of this
// version. There is no way back: an earlier version would ignore parts of commands and hold another state.
func (s *session) raiseFormat() {
	ticker := time.NewTicker(formatCheckInterval)
	defer ticker.Stop()
	for s.format() < ledger.NewestFormat {
		s.checkFormat(formatCheckInterval)
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// checkFormat raises the format of commands if all members are known, within a time, to understand a newer one.
func (s *session) checkFormat(most time.Duration) {
	ctx, cancel := context.WithTimeout(s.ctx, most)
	understood := min(s.memberFormat(ctx), ledger.NewestFormat)
	cancel()
	if understood <= s.format() {
		return
	}
	if _, err := s.propose(s.formatCommand(understood)); err != nil || s.format() < understood {
		s.log.Warn("format of the log not raised yet", "error", err)
		return
	}
	s.log.Info("format of the log raised; earlier versions can't join any more", "format", understood)
}

// formatCommand returns the command that raises the format. Members of earlier versions know no places, and their snapshots tell none.
func (s *session) formatCommand(format int) *ledger.Command {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	c := &ledger.Command{Format: format}
	if s.engine.ledger.Format < ledger.FormatPlaces && format >= ledger.FormatPlaces {
		c.Places = s.engine.ledger.PlacesUpdate()
	}
	return c
}

// needFormat reports whether a format of commands is in force. If it isn't, the members are asked at once, as a large configuration that
// comes shortly after the first start, or after an update, would be sent whole otherwise.
func (s *session) needFormat(format int) bool {
	if s.format() < format && s.memberFormat != nil {
		_, _, _ = s.configCalls.decisions.Do("format", func() (any, error) {
			s.contain("format", func() { s.checkFormat(promptFormatCheck) })
			return nil, nil
		})
	}
	return s.format() >= format
}

// formatCheckInterval is the time between checks of the formats that the members understand.
const formatCheckInterval = time.Second

// promptFormatCheck bounds a check that a call waits for. Members answer within some milliseconds, or 200 ms if a packet is lost.
const promptFormatCheck = 250 * time.Millisecond

// localProposal is a command of this instance on its way through the log.
type localProposal struct {
	command *ledger.Command
	result  *ledger.Result // set when the command has been applied
}

// register makes Apply use a command itself when its encoding comes back from the log, and keep the result, so that neither
// is encoded or decoded again. It returns nil if the command must be decoded as on other replicas.
func (e *Engine) register(data []byte, c *ledger.Command) *localProposal {
	// The encoder replaces invalid UTF-8 by this escape; then the command itself differs from what others decode.
	if !c.OnlyJobs() || bytes.Contains(data, []byte(`\ufffd`)) {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.proposals[string(data)] != nil {
		return nil
	}
	p := &localProposal{command: c}
	e.proposals[string(data)] = p
	return p
}

// unregister ends a registration and returns the result; nil if the command wasn't applied meanwhile.
func (e *Engine) unregister(data []byte, p *localProposal) *ledger.Result {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.proposals[string(data)] == p {
		delete(e.proposals, string(data))
	}
	return p.result
}
