package sheet

import (
	"bytes"
	"encoding/csv"
	"encoding/hex"
	"io"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// row maps the columns of one row to its filled fields.
type row map[string]string

// Write writes cfg as a sheet that Parse reads back to the same digest.
func Write(w io.Writer, cfg *laburnumv1.Configuration) error {
	content := proto.Clone(cfg).(*laburnumv1.Configuration)
	Sort(content)
	out := csv.NewWriter(w)
	if err := out.Write(columnOrder); err != nil {
		return Error.Wrap(err)
	}
	for _, r := range rows(content) {
		record := make([]string, len(columnOrder))
		for i, column := range columnOrder {
			record[i] = r[column]
		}
		if err := out.Write(record); err != nil {
			return Error.Wrap(err)
		}
	}
	out.Flush()
	return Error.Wrap(out.Error())
}

// Verify checks that cfg is valid and that its digest matches its content: it writes cfg as a sheet, parses that and
// compares the digests.
func Verify(cfg *laburnumv1.Configuration) error {
	var text bytes.Buffer
	if err := Write(&text, cfg); err != nil {
		return err
	}
	parsed, err := Parse(&text)
	if err != nil {
		return err
	}
	if !bytes.Equal(parsed.Digest, cfg.GetDigest()) {
		return Error.New("the digest does not match the content")
	}
	return nil
}

func rows(cfg *laburnumv1.Configuration) []row {
	list := []row{{kindColumn: "sheet", "number": strconv.FormatUint(cfg.SheetNumber, 10)}}
	for _, p := range cfg.Pools {
		list = append(list, poolRow(p))
	}
	for _, q := range cfg.Queues {
		list = append(list, queueRow(q))
	}
	for _, t := range cfg.Teams {
		list = append(list, workspaceRow(t))
	}
	for _, k := range cfg.Keys {
		list = append(list, row{kindColumn: "key", "team": k.Team, "sha256": hex.EncodeToString(k.Sha256)})
	}
	for _, s := range cfg.Shares {
		list = append(list, row{kindColumn: "share", "team": s.Team, "pool": s.Pool, "share": formatCount(s.Share)})
	}
	for _, m := range cfg.Maintenance {
		list = append(list, maintenanceRow(m))
	}
	return list
}

func poolRow(p *laburnumv1.Pool) row {
	return row{
		kindColumn: "pool", "name": p.Name, "service": p.Service, "instances": formatCount(p.Instances),
		"min_available": formatCount(p.MinAvailable), "max_instances": countOrEmpty(p.MaxInstances),
		"max_rack_unavailable": countOrEmpty(p.MaxRackUnavailable), "spare": yesOrEmpty(p.Spare),
	}
}

func queueRow(q *laburnumv1.Queue) row {
	return row{
		kindColumn: "queue", "name": q.Name, "pool": q.Pool, "open": yesOrEmpty(q.Open), "team": q.Team,
		"max_wait": formatMilliseconds(q.MaxWaitMs), "max_run": formatMilliseconds(q.MaxRunMs),
		"max_waiting": formatCount(q.MaxWaiting), "idempotent": yesOrEmpty(q.Idempotent),
	}
}

func workspaceRow(t *laburnumv1.Team) row {
	policy := "serve"
	if t.WhenCutOff == laburnumv1.CutOffPolicy_CUT_OFF_POLICY_REFUSE {
		policy = "refuse"
	}
	return row{kindColumn: "team", "name": t.Name, "share": formatCount(t.Share), "limit": formatCount(t.Limit), "when_cut_off": policy}
}

func maintenanceRow(m *laburnumv1.Maintenance) row {
	return row{
		kindColumn: "maintenance", "name": m.Name, "pool": m.Pool, "start": formatTime(m.StartUnix), "end": formatTime(m.EndUnix),
		"max_step": countOrEmpty(m.MaxStep), "drain": (time.Duration(m.DrainSeconds) * time.Second).String(),
	}
}

func formatCount(n uint32) string { return strconv.FormatUint(uint64(n), 10) }

// countOrEmpty formats a number; zero becomes an empty field.
func countOrEmpty(n uint32) string {
	if n == 0 {
		return ""
	}
	return formatCount(n)
}

func yesOrEmpty(flag bool) string {
	if flag {
		return "yes"
	}
	return ""
}

func formatMilliseconds(n uint32) string { return (time.Duration(n) * time.Millisecond).String() }

func formatTime(unix int64) string { return time.Unix(unix, 0).UTC().Format(time.RFC3339) }
