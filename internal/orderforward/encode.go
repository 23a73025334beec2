package orderforward

import (
	"hash/crc32"

	"laburnumrouter/internal/dispatch"
	"laburnumrouter/internal/request/ledger"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	// runningColumns and finishedColumns are the numbers of a row of HoldContent.
	runningColumns  = 7
	finishedColumns = 8
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func specSum(spec string) uint32 { return crc32.Checksum([]byte(spec), castagnoli) }

// newCall returns a call without its number, budget and order.
func newCall(kind laburnumv1.OrderKind, to dispatch.Target, token uint64) *laburnumv1.OrderCall {
	return &laburnumv1.OrderCall{Kind: kind, Server: to.ID, Address: to.Address, Token: token}
}

func setTask(c *laburnumv1.OrderCall, id ledger.TaskID, run int) {
	c.Job, c.Occurrence, c.Step, c.Index, c.Run = id.Job, int64(id.Occurrence), int64(id.Step), int64(id.Index), int64(run)
}

func taskOf(c *laburnumv1.OrderCall) (id ledger.TaskID, run int) {
	return ledger.TaskID{Job: c.Job, Occurrence: int(c.Occurrence), Step: int(c.Step), Index: int(c.Index)}, int(c.Run)
}

// textTable collects texts, each once. Positions count from 1; 0 is the empty text.
type textTable struct {
	list []string
	at   map[string]int64
}

func (t *textTable) add(text string) int64 {
	if text == "" {
		return 0
	}
	if at, ok := t.at[text]; ok {
		return at
	}
	t.list = append(t.list, text)
	t.at[text] = int64(len(t.list))
	return int64(len(t.list))
}

func encodeHold(r *dispatch.HoldReport) *laburnumv1.HoldContent {
	texts := textTable{at: make(map[string]int64)}
	c := &laburnumv1.HoldContent{
		Born: r.Born, Running: make([]int64, 0, runningColumns*len(r.Running)), Figures: make([]int64, 0, len(r.Running)),
		Finished: make([]int64, 0, finishedColumns*len(r.Finished)),
	}
	for _, row := range r.Running {
		c.Running = append(c.Running, texts.add(row.Task.Job), int64(row.Task.Occurrence), int64(row.Task.Step), int64(row.Task.Index),
			int64(row.Run), texts.add(row.Checkpoint), int64(row.Percent))
		c.Figures = append(c.Figures, row.Figure)
	}
	for _, row := range r.Finished {
		c.Finished = append(c.Finished, row.Number, texts.add(row.Task.Job), int64(row.Task.Occurrence), int64(row.Task.Step),
			int64(row.Task.Index), int64(row.Run), texts.add(string(row.How)), texts.add(row.Checkpoint))
	}
	c.Texts = texts.list
	return c
}

// decodeHold returns the report in an encoded answer to a hold. A malformed one is an error, because a report that lacks a
// run means that the run is gone.
func decodeHold(result *laburnumv1.OrderResult) (*dispatch.HoldReport, error) {
	c := result.Hold
	if c == nil || len(c.Running) != runningColumns*len(c.Figures) || len(c.Finished)%finishedColumns != 0 {
		return nil, Error.New("the forwarder's copy of a report is malformed")
	}
	valid := true
	text := func(at int64) string {
		if at == 0 {
			return ""
		}
		if at < 0 || at > int64(len(c.Texts)) {
			valid = false
			return ""
		}
		return c.Texts[at-1]
	}
	r := &dispatch.HoldReport{ClockMS: result.ClockMs, Born: c.Born}
	if n := len(c.Figures); n > 0 {
		r.Running = make([]dispatch.RunningTask, n)
	}
	for i := range r.Running {
		v := c.Running[i*runningColumns:]
		r.Running[i] = dispatch.RunningTask{
			Task: ledger.TaskID{Job: text(v[0]), Occurrence: int(v[1]), Step: int(v[2]), Index: int(v[3])},
			Run:  int(v[4]), Checkpoint: text(v[5]), Percent: int(v[6]), Figure: c.Figures[i],
		}
	}
	if n := len(c.Finished) / finishedColumns; n > 0 {
		r.Finished = make([]dispatch.FinishedTask, n)
	}
	for i := range r.Finished {
		v := c.Finished[i*finishedColumns:]
		r.Finished[i] = dispatch.FinishedTask{
			Number: v[0], Task: ledger.TaskID{Job: text(v[1]), Occurrence: int(v[2]), Step: int(v[3]), Index: int(v[4])},
			Run: int(v[5]), How: ledger.EndCause(text(v[6])), Checkpoint: text(v[7]),
		}
	}
	if !valid {
		return nil, Error.New("the forwarder's copy of a report is malformed")
	}
	return r, nil
}
