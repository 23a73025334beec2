package server

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/process/settings"
)

// Guards against a choice that closes requests in work or young ones while older incomplete requests or idle connections are left.
func TestChoiceOfConnectionsToClose(t *testing.T) {
	const now = 20 * time.Second
	at := func(s stage, since time.Duration, bytes int64) holding {
		return holding{stage: s, since: since, bytes: bytes}
	}
	peer := at(stageBody, 0, 50)
	peer.trusted = true
	untaken, taken := at(stageWorking, 1*time.Second, 10), at(stageWorking, 1*time.Second, 10)
	untaken.writing, untaken.writeAt = true, now-youngAge
	taken.writing, taken.writeAt = true, now-youngAge+1
	conns := []holding{
		at(stageWorking, 1*time.Second, 10),   // 0: in work
		at(stageBody, now-youngAge/2, 10),     // 1: young
		at(stageIdle, 4*time.Second, 10),      // 2: idle for a short time
		at(stageHeader, 9*time.Second, 10),    // 3: incomplete
		at(stageBody, 5*time.Second, 30),      // 4: incomplete for the longest time
		at(stageIdle, 2*time.Second, 10),      // 5: idle for a long time
		at(stageEvicted, 1*time.Second, 10),   // 6: being closed
		at(stageHeader, now-youngAge/2-1, 10), // 7: young, the older one
		peer,                                  // 8
		untaken,                               // 9: an answer that its client doesn't take
		taken,                                 // 10: an answer that has just begun
	}
	for _, test := range []struct {
		name string
		over excess
		want []int
	}{
		{"nothing", excess{}, nil},
		{"bytes that one holds", excess{bytes: 30}, []int{4}},
		{"bytes that two hold", excess{bytes: 31}, []int{4, 3}},
		{"one connection", excess{conns: 1}, []int{4}},
		{"idle after incomplete", excess{conns: 4}, []int{4, 3, 5, 2}},
		{"young last", excess{conns: 5}, []int{4, 3, 5, 2, 7}},
		{"both", excess{bytes: 1, conns: 3}, []int{4, 3, 5}},
		{"more than there is", excess{bytes: 1 << 40}, []int{4, 3, 5, 2, 7, 1, 9}},
	} {
		must.Eq(t, test.want, choose(conns, now, test.over), must.Sprint(test.name))
	}
}

// Guards against a client that holds a request for as long as it likes, and against one that is cut off although its large body
// arrives at a fair rate.
func TestTimeToReceiveGrowsWithBytes(t *testing.T) {
	b := receiveBound{base: 15 * time.Second, rate: 64 << 10}
	h := func(s stage) *holding { return &holding{stage: s} }
	for _, test := range []struct {
		stage    stage
		received int64
		at       time.Duration
		want     bool
	}{
		{stageHeader, 0, 15 * time.Second, false},
		{stageHeader, 0, 15*time.Second + 1, true},
		{stageBody, 0, 16 * time.Second, true},
		{stageBody, 64 << 10, 16 * time.Second, false},
		{stageBody, 262143, 20 * time.Second, true},     // a whole body but for one byte
		{stageBody, 31 << 20, 130 * time.Second, false}, // 32 MiB at 2 Mbit/s
		{stageWorking, 0, time.Hour, false},
		{stageIdle, 0, time.Hour, false},
	} {
		must.Eq(t, test.want, b.exceeded(h(test.stage), test.received, test.at), must.Sprintf("%+v", test))
	}
	answer := &holding{stage: stageWorking, writing: true}
	must.False(t, b.untaken(answer, 64<<10, 16*time.Second))
	must.True(t, b.untaken(answer, 64<<10, 16*time.Second+1))
	must.False(t, b.untaken(h(stageWorking), 64<<10, time.Hour))
	trusted := &holding{stage: stageBody, trusted: true}
	must.False(t, b.exceeded(trusted, 0, time.Hour))
}

// Guards against a process without settings that has no bound.
func TestLimitsHaveDefaults(t *testing.T) {
	n := settings.DefaultNode()
	limits := LimitsFor(&n, 5, 8)
	must.Positive(t, limits.Bytes)
	must.GreaterEq(t, leastConns, limits.Conns)
	n.MemoryMB, n.MaxFDs = 284, 400
	must.Eq(t, Limits{Bytes: 284 << 20 / 3, Conns: 400 - 100 - 50, BodyCost: 5, ReceiveTimeout: 15 * time.Second}, LimitsFor(&n, 5, 8))
	must.Eq(t, 2048<<10, memTotal([]byte("MemFree: 1 kB\nMemTotal:       2048 kB\n")))
	must.Zero(t, memTotal([]byte("MemTotal: some kB")))
}

// What clients may hold at a process without memory_mb must not grow with the machine: several processes may share it.
func TestDefaultMemoryIsBoundedOnLargeMachines(t *testing.T) {
	must.Eq(t, 1<<30, defaultMemory([]byte("MemTotal: 33554432 kB\n")))
	must.Eq(t, 512<<20, defaultMemory([]byte("MemTotal: 2097152 kB\n")))
	must.Eq(t, 1<<30, defaultMemory(nil))
}
