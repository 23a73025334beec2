package logging

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a log that a fault fills: lines beyond the limit are left out, and counted in the next one.
func TestLimitCountsLinesLeftOut(t *testing.T) {
	l, now := Limit{Lines: 2, Every: time.Second}, time.Unix(1, 0)
	for i, want := range []bool{true, true, false, false} {
		_, ok := l.Allow(now)
		must.EqOp(t, want, ok, must.Sprint(i))
	}
	omitted, ok := l.Allow(now.Add(time.Second))
	must.True(t, ok)
	must.EqOp(t, 2, omitted)
}
