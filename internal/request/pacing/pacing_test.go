package pacing

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const lookEvery = time.Second

// play feeds figures of one task with a target of 100 ms, a second apart, and returns the percentages.
func play(s *Server, start time.Duration, figures ...int64) (percent []int) {
	for i, f := range figures {
		percent = append(percent, s.Look(start+time.Duration(i)*lookEvery, []Serving{{FigureMS: f, TargetMS: 100}}))
	}
	return percent
}

func TestLook(t *testing.T) {
	cases := []struct {
		name    string
		figures []int64
		want    []int
	}{
		{"under its target nothing is slowed", []int64{50, 90, 99, 100}, []int{100, 100, 100, 100}},
		{"over it the pace is quartered until it helps", []int64{150, 95, 95}, []int{25, 25, 25}},
		{"with room it comes back in steps", []int64{150, 70, 70, 70, 70, 70, 70}, []int{25, 25, 45, 65, 85, 100, 100}},
		{"stands still within 4 s", []int64{200, 200, 200}, []int{25, 0, 0}},
		{"what doesn't help is undone", []int64{200, 200, 200, 200, 200, 90, 200}, []int{25, 0, 0, 100, 100, 100, 25}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var s Server
			must.Eq(t, c.want, play(&s, time.Hour, c.figures...))
		})
	}
}

// The task that is worst off decides.
func TestOneOfSeveralIsEnough(t *testing.T) {
	var s Server
	must.EqOp(t, Full/quarter, s.Look(time.Hour, []Serving{{FigureMS: 10, TargetMS: 100}, {FigureMS: 101, TargetMS: 100}}))
	must.EqOp(t, Full, new(Server).Look(time.Hour, nil))
}

// Disturbance that comes and goes each few seconds never keeps a tail over its target for 4 s on end.
func TestDisturbanceThatChanges(t *testing.T) {
	var s Server
	percent, over, longest := Full, 0, 0
	for i := range 200 {
		disturbs := i/7%2 == 0
		figure := int64(60)
		if disturbs {
			figure += int64(percent)
		}
		if figure > 100 {
			over++
		} else {
			over = 0
		}
		longest = max(longest, over)
		percent = s.Look(time.Hour+time.Duration(i)*500*time.Millisecond, []Serving{{FigureMS: figure, TargetMS: 100}})
	}
	must.LessEq(t, 3, longest)
}
