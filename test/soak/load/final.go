package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

const askInterval = 50 * time.Millisecond

// Probe submits new jobs at each entry instance until one is accepted there, or ctx ends.
func (c *Callers) Probe(ctx context.Context, seed uint64) {
	var group errgroup.Group
	for i := range c.Addresses {
		group.Go(func() error {
			one := &caller{Callers: c, rng: rand.New(rand.NewPCG(seed, uint64(1000+i)))}
			defer func() { one.conn.close() }()
			for ctx.Err() == nil {
				one.stayAt(i)
				j := one.newJob()
				c.book.add(j)
				if one.submit(j, BaseKey)/100 == 2 {
					return nil
				}
				sleep(ctx, askInterval)
			}
			return nil
		})
	}
	_ = group.Wait()
}

func (c *caller) stayAt(entry int) {
	if c.conn == nil || c.entry != entry {
		if c.conn != nil {
			c.conn.close()
		}
		c.entry, c.conn = entry, &client{address: c.Addresses[entry], refused: c.Refused}
	}
}

// AwaitJobs asks for all accepted jobs that it has not asked for yet until each has ended, or ctx ends.
func (c *Callers) AwaitJobs(ctx context.Context, seed uint64) {
	const askers = 8
	open := c.book.unasked()
	var group errgroup.Group
	for i := range askers {
		group.Go(func() error {
			one := &caller{Callers: c, rng: rand.New(rand.NewPCG(seed, uint64(2000+i)))}
			one.move()
			defer func() { one.conn.close() }()
			for k := i; k < len(open); k += askers {
				one.await(ctx, open[k])
			}
			return nil
		})
	}
	_ = group.Wait()
}

// await asks for a job until it has ended; once at least, also if ctx has ended.
func (c *caller) await(ctx context.Context, j *job) {
	for !c.state(j, BaseKey, true) && ctx.Err() == nil {
		sleep(ctx, askInterval)
	}
}

// AwaitService waits until each entry instance answers for a queue, or ctx ends.
func (c *Callers) AwaitService(ctx context.Context) error {
	for i, name := range c.Names {
		one := &caller{Callers: c, rng: rand.New(rand.NewPCG(0, 0))}
		for {
			one.stayAt(i)
			status, _, _ := one.conn.do(pendingRequest(one.conn.address), patience)
			if status == http.StatusOK {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("%s does not answer: status %d", name, status)
			}
			sleep(ctx, askInterval)
		}
		one.conn.close()
	}
	return nil
}

func pendingRequest(address string) *http.Request {
	req := newRequest(http.MethodGet, address, "/"+queueNames[0]+"/", nil)
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+BaseKey)
	return req
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
