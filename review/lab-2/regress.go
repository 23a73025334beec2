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
	downgradeTime = 250 * time.Millisecond
	cutTime       = 2 * time.Second
	betweenCuts   = 7 * time.Second
)

// withdrawnKeys are taken away one after the other.
var withdrawnKeys = []string{"jbvk9m68k7b2ex5wa5xw", "m3kq0zt7cw2v9hsx4d8f", "y6ru1pj5eb0n7ga2l4oi"}

func init() {
	scenarios["entry-regresses"] = scenario{prepare: func(c *cluster) string {
		c.platform.add(deskPool, 8, 32000, true)
		return regressConfig(7, 0)
	}, play: entryRegresses}
}

// regressConfig returns the configuration after a number of rounds. Each round takes a key away and adds a route.
func regressConfig(version, rounds int) string {
	routes := []route{newRoute("r-desk", deskPath, deskPool)}
	for i := range rounds {
		routes = append(routes, newRoute(fmt.Sprintf("r-recon-%d", i), newPath(i), deskPool))
	}
	keys := append([]string{labKey}, withdrawnKeys[rounds:]...)
	return configText(version, routes, []service{newService(deskPool)}, []tenant{newTenant("lab-1", keys...)})
}

func newPath(round int) string { return fmt.Sprintf("/recon%d/", round) }

// entryRegresses cuts a control instance off from the others, and lets a configuration take a key away and add a route meanwhile. A
// client goes on with the key at the entry instance in the zone of the one that is cut off, after a job on the new route has been
// handed in there and begun.
func entryRegresses(ctx context.Context, c *cluster, trouble bool) error {
	const job = deskPath + "5c0e7a21d94b36f8"
	pause(ctx, 8*time.Second) // the entry instances look for control instances of their zones every 5 s
	if err := c.submit(ctx, labKey, job, shortJob()); err != nil {
		return err
	}
	for round := range withdrawnKeys {
		if err := c.regressOnce(ctx, job, round, trouble); err != nil {
			return err
		}
		pause(ctx, betweenCuts)
	}
	return ctx.Err()
}

func shortJob() []byte {
	return jobText(work{CPU: []int64{1000}, MS: []int64{200}}, phase{Count: 2, CPU: 1000, MemMB: 512, EstimateMS: 200})
}

func (c *cluster) regressOnce(ctx context.Context, job string, round int, trouble bool) error {
	newJob, key := fmt.Sprintf("77aa01f2c3d4e5f%d", round), withdrawnKeys[round]
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
	front := "http://" + c.front(near)
	ending, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		last := -1
		for {
			sent := time.Now()
			status, _ := call(ctx, 3*time.Second, "GET", front+job, callerHeader(key), nil)
			mu.Lock()
			began := effect
			mu.Unlock()
			if status != last {
				c.rec.add("client: GET %s with the key to be withdrawn at entry-%d, sent %.3f -> %d", job, near+1, sent.Sub(c.rec.began).Seconds(), status)
			}
			last = status
			if !began.IsZero() && status == 200 && sent.Sub(began) > downgradeTime {
				c.rec.breaks("CONFIG: entry-%d, which has passed on a job that only version %d allows, answers a request with a key that this version took away; it was sent %d ms after a minion began that job",
					near+1, 12+round, sent.Sub(began).Milliseconds())
			}
			select {
			case <-ending:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	pause(ctx, 1650*time.Millisecond+time.Duration(round)*150*time.Millisecond) // the state near by is confirmed every 0.5 s
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
	for status := 0; status != 200; {
		status = c.putConfig(ctx, leader, regressConfig(12+round, round+1))
		c.rec.add("operator: PUT version %d without the key and with route %s -> %d", 12+round, newPath(round), status)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	status, _ := call(ctx, 3*time.Second, "POST", front+newPath(round)+newJob, callerHeader(labKey), shortJob())
	c.rec.add("client: POST %s%s at entry-%d -> %d", newPath(round), newJob, near+1, status)
	pause(ctx, cutTime)
	close(ending)
	<-done
	if effect.IsZero() {
		return fmt.Errorf("the job on the new route didn't begin")
	}
	c.rec.add("the cut is over")
	return nil
}
