package ledger

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a server that is used again after it has left: a delayed announcement of the same incarnation made it a new
// server. The record has to survive a snapshot.
func TestDepartedIncarnationIsNotRecordedAgain(t *testing.T) {
	l := New()
	a := Server{ID: "a", Pool: "p", Born: 5, Seq: 1}
	l.Apply(&Command{NowMS: 1000, Servers: []Server{a}})
	left := []Incarnation{{ID: "a", Born: 5}}
	l.Apply(&Command{NowMS: 2000, Gone: left, Left: left})
	must.MapEmpty(t, l.KnownServers())

	data, err := l.Snapshot()
	must.NoError(t, err)
	restored := New()
	must.NoError(t, restored.Restore(data))
	for _, l := range []*Ledger{l, restored} {
		late := a
		late.Seq = 2
		l.Apply(&Command{NowMS: 2000 + departureRetentionMS, Servers: []Server{late}})
		must.MapEmpty(t, l.KnownServers())
		next := a
		next.Born = 6
		l.Apply(&Command{NowMS: 2000 + departureRetentionMS, Servers: []Server{next}})
		must.MapLen(t, 1, l.KnownServers())
	}
}

// A server that still announces itself long after its departure has not left: a delayed message of an earlier incarnation may
// have said so.
func TestDepartureIsForgotten(t *testing.T) {
	l := New()
	left := []Incarnation{{ID: "a", Born: 5}}
	l.Apply(&Command{NowMS: 1000, Gone: left, Left: left})
	must.True(t, l.HasLeft("a", 5))
	l.Apply(&Command{NowMS: 1001 + departureRetentionMS})
	must.False(t, l.HasLeft("a", 5))
	must.SliceEmpty(t, l.Departures)
}

// A server that was removed for its silence may announce itself again. Commands of earlier versions record no departures.
func TestServerRemovedForSilenceMayReturn(t *testing.T) {
	l := New()
	a := Server{ID: "a", Pool: "p", Born: 5, Seq: 1}
	l.Apply(&Command{NowMS: 1000, Servers: []Server{a}})
	l.Apply(&Command{NowMS: 2000, Gone: []Incarnation{{ID: "a", Born: 5}}})
	l.Apply(&Command{NowMS: 3000, Servers: []Server{a}})
	must.MapLen(t, 1, l.KnownServers())
}

func TestDeparturesAreBounded(t *testing.T) {
	l := New()
	for n := range maxDepartures + 10 {
		l.Apply(&Command{NowMS: 1000, Left: []Incarnation{{ID: fmt.Sprint(n), Born: 1}}})
	}
	must.SliceLen(t, maxDepartures, l.Departures)
	must.False(t, l.HasLeft("0", 1))
	must.True(t, l.HasLeft(fmt.Sprint(maxDepartures+9), 1))
}

// Snapshots of earlier versions have no departures.
func TestSnapshotWithoutDeparturesIsRead(t *testing.T) {
	data, err := json.Marshal(map[string]any{"Jobs": map[string]any{}, "Servers": map[string]any{"a": Server{ID: "a", Born: 5}}, "ClockMS": 7})
	must.NoError(t, err)
	l := New()
	must.NoError(t, l.Restore(data))
	must.MapLen(t, 1, l.KnownServers())
	must.False(t, l.HasLeft("a", 5))
}
