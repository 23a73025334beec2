package sheet

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

func TestCompare(t *testing.T) {
	old := fullConfiguration()
	must.True(t, Compare(old, old, nil).Empty())

	next := proto.Clone(old).(*laburnumv1.Configuration)
	next.SheetNumber = 7
	next.Pools[0].Instances = 6
	next.Teams[0].Limit = 2
	next.Maintenance = nil
	next.Queues = append(next.Queues, &laburnumv1.Queue{Name: "new", Pool: "p", MaxRunMs: 1000})
	d := Compare(old, next, map[string]uint32{"p": 2})
	must.Eq(t, []Change{
		{Removed, "maintenance", "m", ""},
		{Changed, "pool", "p", "instances 4 -> 6"},
		{Added, "queue", "new", "pool p, max_wait 0s, max_run 1s, max_waiting 0"},
		{Changed, "team", "t", "limit 5 -> 2"},
	}, d.Changes)
	must.Eq(t, 2, d.Moves)
	must.Eq(t, []string{"m removed"}, d.Waves)
	risks := strings.Join(d.Risks, "\n")
	must.StrContains(t, risks, "pool p: 2 instances serve now, min_available becomes 3")
	must.StrContains(t, risks, "workspace t: limit 5 -> 2")
}
