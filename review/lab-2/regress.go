package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"laburnumrouter/test/soak/link"
)

const (
	withdrawnKey  = "jbvk9m68k7b2ex5wa5xw"
	newPath       = "/recon/"
	downgradeTime = 250 * time.Millisecond
	cutTime       = 4 * time.Second
)

func init() {
	scenarios["entry-regresses"] = scenario{prepare: func(c *cluster) string {
		c.platform.add(deskPool, 8, 32000, true)
		return configText(7, []route{newRoute("r-desk", deskPath, deskPool)}, []service{newService(deskPool)}, []tenant{newTenant("lab-1", labKey, withdrawnKey)})
	}, play: entryRegresses}
}

// entryRegresses cuts a control instance off from the others, and lets a configuration take a key away and add a route meanwhile. A
// client goes on with the key at the entry instance in the zone of the one that is cut off, after a job on the new route has been
// handed in there and begun.
func entryRegresses(ctx context.Context, c *cluster, trouble bool) error {
	const job, newJob = deskPath + "5c0e7a21d94b36f8", "77aa01f2c3d4e5f6"
	pause(ctx, 8*time.Second) // the entry instances look for control instances of their zones every 5 s
	leader := c.leader(ctx)
	if leader < 0 {
		return fmt.Errorf("no leader is found")
	}
	near := 0
	if leader == 0 {
		near = 1
	}
	c.rec.add("control-%d leads; entry-%d and control-%d are in one zone", leader+1, near+1, near+1)
	var mu sync.Mutex
	var effect time.Time
	c.rec.onRun = func(_ *minion, r *run) {
		if strings.HasPrefix(r.task, newJob) {
			mu.Lock()
			if effect.IsZero() {
				effect = time.Now()
			}
			mu.Unlock()
		}
	}
	body := jobText(work{CPU: []int64{1000}, MS: []int64{200}}, phase{Count: 2, CPU: 1000, MemMB: 512, EstimateMS: 200})
	if err := c.submit(ctx, labKey, job, body); err != nil {
		return err
	}
	front := "http://" + c.front(near)
	ending, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		last := -1
		for {
			sent := time.Now()
			status, _ := call(ctx, 3*time.Second, "GET", front+job, callerHeader(withdrawnKey), nil)
			mu.Lock()
			began := effect
			mu.Unlock()
			if status != last {
				c.rec.add("client: GET %s with the key to be withdrawn at entry-%d, sent %.3f -> %d", job, near+1, sent.Sub(c.rec.began).Seconds(), status)
			}
			last = status
			if !began.IsZero() && status == 200 && sent.Sub(began) > downgradeTime {
				c.rec.breaks("CONFIG: entry-%d, which has passed on a job that only version 12 allows, answers a request with a key that version 12 took away; it was sent %d ms after a minion began that job",
					near+1, sent.Sub(began).Milliseconds())
			}
			select {
			case <-ending:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	pause(ctx, 2*time.Second)
	if trouble {
		name := c.controls[near].name
		c.rec.add("%s is cut off from the other control instances", name)
		for _, p := range c.controls {
			if p.name != name {
				defer c.network.Add(link.Rule{From: name, To: p.name, Cut: true})()
				defer c.network.Add(link.Rule{From: p.name, To: name, Cut: true})()
			}
		}
	}
	text := configText(12, []route{newRoute("r-desk", deskPath, deskPool), newRoute("r-recon", newPath, deskPool)}, []service{newService(deskPool)},
		[]tenant{newTenant("lab-1", labKey)})
	for {
		status := c.putConfig(ctx, leader, text)
		c.rec.add("operator: PUT version 12 without the key and with route %s -> %d", newPath, status)
		if status == 200 {
			break
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	status, _ := call(ctx, 3*time.Second, "POST", front+newPath+newJob, callerHeader(labKey), body)
	c.rec.add("client: POST %s%s at entry-%d -> %d", newPath, newJob, near+1, status)
	pause(ctx, cutTime)
	close(ending)
	<-done
	if effect.IsZero() {
		return fmt.Errorf("the job on the new route didn't begin")
	}
	return ctx.Err()
}
