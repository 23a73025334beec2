// Package state applies accepted changes to the state that control and entry instances share.
//
// The index of the state never decreases. The package does no I/O and reads no clock; callers must do the locking.
package state

import (
	"crypto/sha256"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// Error is the class of all errors of this package.
var Error = errs.Class("state")

// KeyDigest is the SHA-256 of a key's secret.
type KeyDigest [sha256.Size]byte

// DigestOf converts the bytes of a digest to a KeyDigest; ok is false if their number is wrong.
func DigestOf(b []byte) (d KeyDigest, ok bool) {
	return d, copy(d[:], b) == len(d) && len(b) == len(d)
}

// SliceID identifies the slice of a workspace's limit that a data centre holds.
type SliceID struct {
	Workspace  string
	DataCentre string
}

// JobsSlice is the DataCentre of slices that jobs hold. No data centre can have this name.
const JobsSlice = "#jobs"

// ShareID identifies the share of a workspace in a pool.
type ShareID struct {
	Workspace string
	Pool      string
}

// State is the result of all changes up to Index. Its protobuf messages are shared with views and must not be
// modified.
type State struct {
	Index        uint64
	SheetNumber  uint64
	SheetDigest  []byte
	Pools        map[string]*laburnumv1.Pool
	Queues       map[string]*laburnumv1.Queue
	Workspaces   map[string]*laburnumv1.Team
	Keys         map[KeyDigest]*laburnumv1.Key
	Shares       map[ShareID]uint32
	Maintenance  map[string]*laburnumv1.Maintenance
	Withdrawn    map[KeyDigest]*laburnumv1.KeyWithdrawal
	Assignments  map[string]*laburnumv1.Assignment
	Slices       map[SliceID]*laburnumv1.Slice
	RecordGroups map[string]*laburnumv1.RecordGroup
	Waves        map[string]*laburnumv1.Wave
}

// New returns an empty state at index 0.
func New() *State {
	return &State{
		Pools:        make(map[string]*laburnumv1.Pool),
		Queues:       make(map[string]*laburnumv1.Queue),
		Workspaces:   make(map[string]*laburnumv1.Team),
		Keys:         make(map[KeyDigest]*laburnumv1.Key),
		Shares:       make(map[ShareID]uint32),
		Maintenance:  make(map[string]*laburnumv1.Maintenance),
		Withdrawn:    make(map[KeyDigest]*laburnumv1.KeyWithdrawal),
		Assignments:  make(map[string]*laburnumv1.Assignment),
		Slices:       make(map[SliceID]*laburnumv1.Slice),
		RecordGroups: make(map[string]*laburnumv1.RecordGroup),
		Waves:        make(map[string]*laburnumv1.Wave),
	}
}

// ApplyChange applies one change. Changes of one log entry have the same index; a lower index is an error.
func (s *State) ApplyChange(c *laburnumv1.Change) error {
	if c.Index < s.Index {
		return Error.New("change %d is behind index %d", c.Index, s.Index)
	}
	s.Index = c.Index
	switch kind := c.Kind.(type) {
	case *laburnumv1.Change_Configuration:
		s.applyConfiguration(kind.Configuration)
	case *laburnumv1.Change_Withdrawal:
		s.applyWithdrawal(kind.Withdrawal)
	case *laburnumv1.Change_Assignment:
		s.Assignments[kind.Assignment.Instance] = kind.Assignment
	case *laburnumv1.Change_ForgottenInstance:
		delete(s.Assignments, kind.ForgottenInstance)
	case *laburnumv1.Change_Slice:
		s.Slices[SliceID{kind.Slice.Team, kind.Slice.DataCentre}] = kind.Slice
	case *laburnumv1.Change_RecordGroup:
		s.RecordGroups[kind.RecordGroup.DataCentre] = kind.RecordGroup
	case *laburnumv1.Change_Wave:
		s.Waves[kind.Wave.Name] = kind.Wave
	default:
		return Error.New("change %d is of an unknown kind", c.Index)
	}
	return nil
}

// applyWithdrawal makes a key invalid. Withdrawals are never undone; the first one of a key is kept.
func (s *State) applyWithdrawal(w *laburnumv1.KeyWithdrawal) {
	d, ok := DigestOf(w.Sha256)
	if _, known := s.Withdrawn[d]; ok && !known {
		s.Withdrawn[d] = w
	}
}

func (s *State) applyConfiguration(d *laburnumv1.ConfigurationDelta) {
	s.SheetNumber = d.SheetNumber
	s.SheetDigest = d.Digest
	s.applyRemovals(d)
	upserts := d.GetUpsert()
	for _, p := range upserts.GetPools() {
		s.Pools[p.Name] = p
	}
	for _, q := range upserts.GetQueues() {
		s.Queues[q.Name] = q
	}
	for _, t := range upserts.GetTeams() {
		s.Workspaces[t.Name] = t
	}
	for _, k := range upserts.GetKeys() {
		if digest, ok := DigestOf(k.Sha256); ok {
			s.Keys[digest] = k
		}
	}
	for _, sh := range upserts.GetShares() {
		s.Shares[ShareID{sh.Team, sh.Pool}] = sh.Share
	}
	for _, m := range upserts.GetMaintenance() {
		s.Maintenance[m.Name] = m
	}
}

func (s *State) applyRemovals(d *laburnumv1.ConfigurationDelta) {
	for _, name := range d.RemovedPools {
		delete(s.Pools, name)
	}
	for _, name := range d.RemovedQueues {
		delete(s.Queues, name)
	}
	for _, name := range d.RemovedTeams {
		delete(s.Workspaces, name)
	}
	for _, sum := range d.RemovedKeys {
		if digest, ok := DigestOf(sum); ok {
			delete(s.Keys, digest)
		}
	}
	for _, sh := range d.RemovedShares {
		delete(s.Shares, ShareID{sh.Team, sh.Pool})
	}
	for _, name := range d.RemovedMaintenance {
		delete(s.Maintenance, name)
	}
}

// Restore replaces the state with a snapshot; an older snapshot is an error. Withdrawals that are already known are kept.
func (s *State) Restore(snap *laburnumv1.AcceptedState) error {
	if snap.GetIndex() < s.Index {
		return Error.New("snapshot %d is behind index %d", snap.GetIndex(), s.Index)
	}
	withdrawn := s.Withdrawn
	*s = *New()
	s.Withdrawn = withdrawn
	s.Index = snap.GetIndex()
	cfg := snap.GetConfiguration()
	s.applyConfiguration(&laburnumv1.ConfigurationDelta{SheetNumber: cfg.GetSheetNumber(), Digest: cfg.GetDigest(), Upsert: cfg})
	for _, w := range snap.GetWithdrawals() {
		s.applyWithdrawal(w)
	}
	for _, a := range snap.GetAssignments() {
		s.Assignments[a.Instance] = a
	}
	for _, sl := range snap.GetSlices() {
		s.Slices[SliceID{sl.Team, sl.DataCentre}] = sl
	}
	for _, g := range snap.GetRecordGroups() {
		s.RecordGroups[g.DataCentre] = g
	}
	for _, w := range snap.GetWaves() {
		s.Waves[w.Name] = w
	}
	return nil
}

// Snapshot returns the whole state as one message, in no particular order.
func (s *State) Snapshot() *laburnumv1.AcceptedState {
	snap := &laburnumv1.AcceptedState{Index: s.Index, Configuration: s.Configuration()}
	for _, w := range s.Withdrawn {
		snap.Withdrawals = append(snap.Withdrawals, w)
	}
	for _, a := range s.Assignments {
		snap.Assignments = append(snap.Assignments, a)
	}
	for _, sl := range s.Slices {
		snap.Slices = append(snap.Slices, sl)
	}
	for _, g := range s.RecordGroups {
		snap.RecordGroups = append(snap.RecordGroups, g)
	}
	for _, w := range s.Waves {
		snap.Waves = append(snap.Waves, w)
	}
	return snap
}

// Configuration returns the accepted configuration, in no particular order.
func (s *State) Configuration() *laburnumv1.Configuration {
	cfg := &laburnumv1.Configuration{SheetNumber: s.SheetNumber, Digest: s.SheetDigest}
	for _, p := range s.Pools {
		cfg.Pools = append(cfg.Pools, p)
	}
	for _, q := range s.Queues {
		cfg.Queues = append(cfg.Queues, q)
	}
	for _, t := range s.Workspaces {
		cfg.Teams = append(cfg.Teams, t)
	}
	for _, k := range s.Keys {
		cfg.Keys = append(cfg.Keys, k)
	}
	for id, share := range s.Shares {
		cfg.Shares = append(cfg.Shares, &laburnumv1.PoolShare{Team: id.Workspace, Pool: id.Pool, Share: share})
	}
	for _, m := range s.Maintenance {
		cfg.Maintenance = append(cfg.Maintenance, m)
	}
	return cfg
}

// Diff returns the delta that changes the accepted configuration to next.
func (s *State) Diff(next *laburnumv1.Configuration) *laburnumv1.ConfigurationDelta {
	d := &laburnumv1.ConfigurationDelta{SheetNumber: next.SheetNumber, Digest: next.Digest, Upsert: &laburnumv1.Configuration{}}
	upserts := d.Upsert
	upserts.Pools, d.RemovedPools = diffRows(s.Pools, next.Pools, (*laburnumv1.Pool).GetName)
	upserts.Queues, d.RemovedQueues = diffRows(s.Queues, next.Queues, (*laburnumv1.Queue).GetName)
	upserts.Teams, d.RemovedTeams = diffRows(s.Workspaces, next.Teams, (*laburnumv1.Team).GetName)
	upserts.Maintenance, d.RemovedMaintenance = diffRows(s.Maintenance, next.Maintenance, (*laburnumv1.Maintenance).GetName)
	keys, removedKeys := diffRows(s.Keys, next.Keys, func(k *laburnumv1.Key) KeyDigest {
		digest, _ := DigestOf(k.Sha256)
		return digest
	})
	upserts.Keys = keys
	for _, digest := range removedKeys {
		d.RemovedKeys = append(d.RemovedKeys, digest[:])
	}
	s.diffShares(next, d)
	return d
}

func (s *State) diffShares(next *laburnumv1.Configuration, d *laburnumv1.ConfigurationDelta) {
	wanted := make(map[ShareID]bool, len(next.Shares))
	for _, sh := range next.Shares {
		id := ShareID{sh.Team, sh.Pool}
		wanted[id] = true
		if s.Shares[id] != sh.Share {
			d.Upsert.Shares = append(d.Upsert.Shares, sh)
		}
	}
	for id := range s.Shares {
		if !wanted[id] {
			d.RemovedShares = append(d.RemovedShares, &laburnumv1.PoolShare{Team: id.Workspace, Pool: id.Pool})
		}
	}
}

// diffRows returns the rows of next that are new or changed and the keys of the rows that next lacks.
func diffRows[K comparable, T proto.Message](have map[K]T, next []T, key func(T) K) (upsert []T, removed []K) {
	wanted := make(map[K]bool, len(next))
	for _, row := range next {
		k := key(row)
		wanted[k] = true
		old, ok := have[k]
		if !ok || !proto.Equal(old, row) {
			upsert = append(upsert, row)
		}
	}
	for k := range have {
		if !wanted[k] {
			removed = append(removed, k)
		}
	}
	return upsert, removed
}
