package dispatch

import "sync/atomic"

// maxStartsUnderWay bounds the starts between their plan and the answer to their order. A leader that is short of processor time
// takes about 1 ms for each, and an order must be answered within callTimeout.
const maxStartsUnderWay = 256

// startWindow counts the starts under way. It is safe for concurrent use.
type startWindow struct{ underWay atomic.Int64 }

// room returns how many starts may be planned now; 0 while more than half of the window is taken, so that a plan has more than a
// few.
func (w *startWindow) room() int {
	if n := int(w.underWay.Load()); n <= maxStartsUnderWay/2 {
		return maxStartsUnderWay - n
	}
	return 0
}

// begin adds planned starts.
func (w *startWindow) begin(n int) { w.underWay.Add(int64(n)) }

// end removes starts that were answered, given up or not ordered. It reports whether there is room again.
func (w *startWindow) end(n int) (opened bool) {
	after := w.underWay.Add(-int64(n))
	return after <= maxStartsUnderWay/2 && after+int64(n) > maxStartsUnderWay/2
}

// startsEnded takes starts out of the window, and wakes the planner if that has room again.
func (s *session) startsEnded(n int) {
	if s.startWindow.end(n) {
		s.notify()
	}
}
