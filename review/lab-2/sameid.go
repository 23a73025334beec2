package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

const (
	otherKey  = "q8zt5rk1mv0xw3yc7ljh"
	coaPath   = "/coa/"
	coaPool   = "coa-office"
	deskJobID = "0000000000000001"
)

func init() {
	scenarios["same-id"] = scenario{prepare: func(c *cluster) string {
		c.platform.add(deskPool, 4, 32000, true)
		c.platform.add(coaPool, 4, 32000, true)
		return configText(7, []route{newRoute("r-desk", deskPath, deskPool), newRoute("r-coa", coaPath, coaPool)},
			[]service{newService(deskPool), newService(coaPool)}, []tenant{newTenant("lab-1", labKey), newTenant("lab-2", otherKey)})
	}, play: sameID}
}

// sameID lets two tenants hand in a job each, on queues of different services. Both number their jobs from 1; without trouble the second
// has another number.
func sameID(ctx context.Context, c *cluster, trouble bool) error {
	pause(ctx, 4*time.Second)
	second := deskJobID
	if !trouble {
		second = "0000000000000002"
	}
	if err := c.submit(ctx, labKey, deskPath+deskJobID, jobText(work{CPU: []int64{1000}, MS: []int64{500}}, phase{Count: 2, CPU: 1000, MemMB: 512, EstimateMS: 500})); err != nil {
		return err
	}
	pause(ctx, 2*time.Second)
	began := false
	c.rec.onRun = func(m *minion, r *run) {
		if m.pool == coaPool && strings.HasPrefix(r.task, second) {
			began = true
		}
	}
	if err := c.submit(ctx, otherKey, coaPath+second, jobText(work{CPU: []int64{2000}, MS: []int64{700}}, phase{Count: 3, CPU: 2000, MemMB: 512, EstimateMS: 700})); err != nil {
		return err
	}
	pause(ctx, 12*time.Second)
	for i := range entryCount {
		state, status := c.state(ctx, i, otherKey, coaPath+second)
		c.rec.add("client of lab-2: GET %s at entry-%d -> %d %s", coaPath+second, i+1, status, state)
		switch {
		case status == 410:
			c.rec.breaks("LOST: GET for the job %s, which was accepted 12 s ago and which nobody has cancelled, is answered with 410; a task of it began: %t", coaPath+second, began)
		case status != 200 || state != "completed":
			return fmt.Errorf("GET is answered with %d %s", status, state)
		}
	}
	return ctx.Err()
}
