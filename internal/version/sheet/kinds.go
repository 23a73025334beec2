package sheet

import (
	"encoding/hex"
	"sort"
	"time"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	maxCount          = 1_000_000
	maxDuration       = 30 * 24 * time.Hour
	defaultMaxWait    = 2 * time.Second
	defaultMaxRun     = 60 * time.Second
	defaultMaxWaiting = 1000
	defaultShare      = 1
	defaultDrain      = 10 * time.Minute
)

// columnOrder lists all columns in the order in which Write writes them.
var columnOrder = []string{
	kindColumn, "number", "name", "service", "pool", "team", "instances", "min_available", "max_instances",
	"max_rack_unavailable", "spare", "open", "max_wait", "max_run", "max_waiting", "idempotent",
	"share", "limit", "when_cut_off", "sha256", "start", "end", "max_step", "drain",
}

var knownColumns = func() map[string]bool {
	known := make(map[string]bool, len(columnOrder))
	for _, c := range columnOrder {
		known[c] = true
	}
	return known
}()

// kindReaders maps each kind of row to the function that reads its fields.
var kindReaders = map[string]func(*rowReader){
	"sheet":       readSheet,
	"pool":        readPool,
	"queue":       readQueue,
	"team":        readWorkspace,
	"key":         readKey,
	"share":       readShare,
	"limit":       readLimit,
	"maintenance": readMaintenance,
}

func kindNames() []string {
	names := make([]string, 0, len(kindReaders))
	for name := range kindReaders {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func readSheet(r *rowReader) {
	if r.parser.hasSheetNumber {
		r.fault("number", r.raw("number"), "another row of kind sheet already gives the number")
	}
	r.parser.hasSheetNumber = true
	r.parser.cfg.SheetNumber = r.number("number", 0, 1, 1<<53)
}

func readPool(r *rowReader) {
	pool := &laburnumv1.Pool{
		Name:               r.name("name"),
		Service:            r.name("service"),
		Instances:          r.count("instances", 0, 0),
		MinAvailable:       r.count("min_available", 0, 0),
		MaxInstances:       r.count("max_instances", 0, 0),
		MaxRackUnavailable: r.count("max_rack_unavailable", 0, 0),
		Spare:              r.flag("spare"),
	}
	if pool.MinAvailable > pool.Instances {
		r.fault("min_available", r.raw("min_available"), "must not exceed instances (%d)", pool.Instances)
	}
	if pool.MaxInstances != 0 && pool.MaxInstances < pool.Instances {
		r.fault("max_instances", r.raw("max_instances"), "must not be below instances (%d)", pool.Instances)
	}
	r.parser.define(r.row, "pool", pool.Name)
	r.parser.cfg.Pools = append(r.parser.cfg.Pools, pool)
}

func readQueue(r *rowReader) {
	queue := &laburnumv1.Queue{
		Name:       r.name("name"),
		Pool:       r.ref("pool", "pool"),
		Open:       r.flag("open"),
		Team:       r.optionalRef("team", "team"),
		MaxWaitMs:  uint32(r.duration("max_wait", defaultMaxWait, time.Millisecond).Milliseconds()),
		MaxRunMs:   uint32(r.duration("max_run", defaultMaxRun, time.Millisecond).Milliseconds()),
		MaxWaiting: r.count("max_waiting", defaultMaxWaiting, 1),
		Idempotent: r.flag("idempotent"),
	}
	if queue.Open != (queue.Team != "") {
		r.fault("team", queue.Team, "an open queue must name the workspace that is charged, and no other queue may name one")
	}
	r.parser.define(r.row, "queue", queue.Name)
	r.parser.cfg.Queues = append(r.parser.cfg.Queues, queue)
}

func readWorkspace(r *rowReader) {
	workspace := &laburnumv1.Team{Name: r.name("name"), Share: defaultShare, WhenCutOff: laburnumv1.CutOffPolicy_CUT_OFF_POLICY_SERVE}
	switch v := r.raw("when_cut_off"); v {
	case "", "serve":
	case "refuse":
		workspace.WhenCutOff = laburnumv1.CutOffPolicy_CUT_OFF_POLICY_REFUSE
	default:
		r.fault("when_cut_off", v, "must be serve or refuse")
	}
	if r.raw("share") != "" {
		workspace.Share = r.count("share", defaultShare, 1)
	}
	if r.raw("limit") != "" {
		workspace.Limit = r.count("limit", 0, 1)
	}
	r.parser.define(r.row, "team", workspace.Name)
	r.parser.cfg.Teams = append(r.parser.cfg.Teams, workspace)
}

func readKey(r *rowReader) {
	key := &laburnumv1.Key{Team: r.ref("team", "team"), Sha256: r.digest("sha256")}
	r.parser.define(r.row, "key", hex.EncodeToString(key.Sha256))
	r.parser.cfg.Keys = append(r.parser.cfg.Keys, key)
}

func readShare(r *rowReader) {
	share := &laburnumv1.PoolShare{
		Team:  r.ref("team", "team"),
		Pool:  r.ref("pool", "pool"),
		Share: r.count("share", 0, 1),
	}
	r.parser.define(r.row, "share", share.Team+" "+share.Pool)
	r.parser.cfg.Shares = append(r.parser.cfg.Shares, share)
}

func readMaintenance(r *rowReader) {
	m := &laburnumv1.Maintenance{
		Name:         r.name("name"),
		Pool:         r.optionalRef("pool", "pool"),
		StartUnix:    r.timestamp("start"),
		EndUnix:      r.timestamp("end"),
		MaxStep:      r.count("max_step", 0, 0),
		DrainSeconds: uint32(r.duration("drain", defaultDrain, time.Second).Seconds()),
	}
	if m.EndUnix <= m.StartUnix {
		r.fault("end", r.raw("end"), "must be after start")
	}
	r.parser.define(r.row, "maintenance", m.Name)
	r.parser.cfg.Maintenance = append(r.parser.cfg.Maintenance, m)
}

// readLimit reads a limit that replaces the one in the row of the workspace.
func readLimit(r *rowReader) {
	workspace := r.ref("team", "team")
	limit := r.count("limit", 0, 1)
	r.parser.define(r.row, "limit", workspace)
	r.parser.limits = append(r.parser.limits, workspaceLimit{workspace, limit})
}

// Sort orders all rows of cfg by their identifying fields, so that equal content has an equal encoding.
func Sort(cfg *laburnumv1.Configuration) {
	sortByKey(cfg.Pools, (*laburnumv1.Pool).GetName)
	sortByKey(cfg.Queues, (*laburnumv1.Queue).GetName)
	sortByKey(cfg.Teams, (*laburnumv1.Team).GetName)
	sortByKey(cfg.Keys, func(k *laburnumv1.Key) string { return string(k.Sha256) })
	sortByKey(cfg.Shares, func(s *laburnumv1.PoolShare) string { return s.Team + "\x00" + s.Pool })
	sortByKey(cfg.Maintenance, (*laburnumv1.Maintenance).GetName)
}

func sortByKey[T any](rows []T, key func(T) string) {
	sort.SliceStable(rows, func(i, j int) bool { return key(rows[i]) < key(rows[j]) })
}
