package pacing

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const reportInterval = time.Second

// observe reports tail latencies of one task with a target of 100 ms, a second apart, and returns the percentages. Filler
// tasks get each percentage at once.
func observe(s *Pacer, start time.Duration, latencies ...int64) (percent []int) {
	var appliedAt time.Duration
	for i, f := range latencies {
		now, before := start+time.Duration(i)*reportInterval, s.Percent()
		percent = append(percent, s.Update(now, []Serving{{TailLatencyMS: f, TargetMS: 100}}, appliedAt))
		if s.Percent() != before {
			appliedAt = now
		}
	}
	return percent
}

// Guards against throttling that ends as ineffective while a filler task still runs at an earlier percentage.
func TestThrottlingLastsUntilItIsApplied(t *testing.T) {
	var s Pacer
	over := []Serving{{TailLatencyMS: 200, TargetMS: 100}}
	update := func(seconds int, appliedAt time.Duration) int {
		return s.Update(time.Hour+time.Duration(seconds)*time.Second, over, appliedAt)
	}
	must.EqOp(t, 25, update(0, 0))
	for seconds := range 20 {
		must.EqOp(t, 0, update(seconds, 0))
	}
	must.EqOp(t, 0, update(20, time.Hour+19*time.Second))
	must.EqOp(t, FullPercent, update(21, time.Hour+19*time.Second))
}

func TestPercentageFollowsTailLatency(t *testing.T) {
	cases := []struct {
		name      string
		latencies []int64
		want      []int
	}{
		{"no throttling at or below the target", []int64{50, 90, 99, 100}, []int{100, 100, 100, 100}},
		{"over the target the percentage is quartered until the latency falls", []int64{150, 95, 95}, []int{25, 25, 25}},
		{"with headroom the percentage rises in steps", []int64{150, 70, 70, 70, 70, 70, 70}, []int{25, 25, 45, 65, 85, 100, 100}},
		{"filler tasks stop within 4 s", []int64{200, 200, 200}, []int{25, 0, 0}},
		{"throttling without effect ends", []int64{200, 200, 200, 200, 200, 90, 200}, []int{25, 0, 0, 100, 100, 100, 25}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var s Pacer
			must.Eq(t, c.want, observe(&s, time.Hour, c.latencies...))
		})
	}
}

// Filler tasks that an earlier leader may have throttled keep their pace until the tail latency calls for a change.
func TestInheritedPace(t *testing.T) {
	const unchanged = -1
	cases := []struct {
		name      string
		latencies []int64
		want      []int
	}{
		{"unchanged without headroom", []int64{95, 95, 95}, []int{unchanged, unchanged, unchanged}},
		{"full with lasting headroom", []int64{70, 70}, []int{unchanged, 100}},
		{"stopped over the target, then as usual", []int64{150, 95, 70, 70}, []int{0, 0, 0, 20}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, got := NewInherited(), []int(nil)
			for i, tail := range c.latencies {
				percent := observe(s, time.Hour+time.Duration(i)*reportInterval, tail)[0]
				if !s.Known() {
					percent = unchanged
				}
				got = append(got, percent)
			}
			must.Eq(t, c.want, got)
		})
	}
}

// The serving task with the worst latency decides.
func TestOneTaskOverItsTargetIsEnough(t *testing.T) {
	var s Pacer
	must.EqOp(t, FullPercent/throttleDivisor, s.Update(time.Hour, []Serving{{TailLatencyMS: 10, TargetMS: 100}, {TailLatencyMS: 101, TargetMS: 100}}, 0))
	must.EqOp(t, FullPercent, new(Pacer).Update(time.Hour, nil, 0))
}

// With a report every 500 ms, interference that starts and stops every few seconds keeps a tail latency over its target for
// at most 3 reports in a row (1.5 s), well within the limit of 4 s.
func TestChangingInterferenceIsThrottledInTime(t *testing.T) {
	var s Pacer
	var appliedAt time.Duration
	percent, overReports, longestOverReports := FullPercent, 0, 0
	for i := range 200 {
		interferes := i/7%2 == 0
		latency := int64(60)
		if interferes {
			latency += int64(percent)
		}
		if latency > 100 {
			overReports++
		} else {
			overReports = 0
		}
		longestOverReports = max(longestOverReports, overReports)
		now, before := time.Hour+time.Duration(i)*500*time.Millisecond, percent
		percent = s.Update(now, []Serving{{TailLatencyMS: latency, TargetMS: 100}}, appliedAt)
		if percent != before {
			appliedAt = now
		}
	}
	must.LessEq(t, 3, longestOverReports)
}
