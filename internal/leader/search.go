package leader

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"laburnumrouter/internal/request/ledger"
)

// refreshLeader searches for the leader even if one is known, and returns its address. Concurrent callers share one search.
func (c *Client) refreshLeader(ctx context.Context) string {
	c.mu.Lock()
	searchDone := c.ensureSearchLocked()
	c.mu.Unlock()
	select {
	case <-searchDone:
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// ensureSearchLocked starts a search unless one is running, and returns the channel that is closed when it ends. The caller
// holds c.mu.
func (c *Client) ensureSearchLocked() chan struct{} {
	if c.searchDone == nil {
		c.searchDone = make(chan struct{})
		go c.search(c.searchDone)
	}
	return c.searchDone
}

// findLeader returns the leader's address and searches for it if none is known. Concurrent callers share one search.
func (c *Client) findLeader(ctx context.Context) (string, error) {
	c.mu.Lock()
	if c.leader != "" {
		defer c.mu.Unlock()
		return c.leader, nil
	}
	if time.Since(c.searchFailedAt) < searchBackoff {
		c.mu.Unlock()
		return "", errNoLeader
	}
	searchDone := c.ensureSearchLocked()
	c.mu.Unlock()
	select {
	case <-searchDone:
	case <-ctx.Done():
		return "", errNoLeader
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == "" {
		return "", errNoLeader
	}
	return c.leader, nil
}

// search probes all known instances, and those that they name, and takes the first that reports itself as the leader.
// It closes searchDone at the end.
func (c *Client) search(searchDone chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), searchTimeout)
	defer cancel()
	found, answered := c.probeAll(ctx)
	if found == "" {
		c.RefreshSeeds()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.updateCutOffLocked(found != "", answered)
	switch {
	case found == "":
		c.searchFailedAt = now
	case found == c.leader:
		c.lastContact = now
	default:
		lost := time.Duration(0)
		if c.gap.open {
			lost = now.Sub(c.startedAt) - c.gap.since
		}
		c.log.Info("leader found", "leader", found, "lost_for", lost)
		c.leader, c.lastContact = found, now
		c.gap.end()
		close(c.leaderFound)
		c.leaderFound = make(chan struct{})
	}
	c.searchDone = nil
	close(searchDone)
}

// updateCutOffLocked sets cutOff from the result of a search: no leader found, and at most half of the instances answered.
// The caller holds c.mu.
func (c *Client) updateCutOffLocked(found bool, answered int) {
	isCutOff := !found && 2*answered <= max(len(c.members), len(c.seeds))
	if isCutOff != c.cutOff {
		c.log.Warn("reach of control changed", "cut_off", isCutOff, "answered", answered, "members", len(c.members))
	}
	c.cutOff = isCutOff
}

// probeResult is the response of one instance to a probe.
type probeResult struct {
	address string
	status  *LeaderStatus // nil if it didn't answer
}

// probeAll probes every known instance and those that they name. It returns the address of the leader, or "", and how many
// instances that can take part in an election answered up to then.
func (c *Client) probeAll(ctx context.Context) (leader string, answered int) {
	results := make(chan probeResult)
	probed := make(map[string]bool)
	pending := 0
	startProbes := func(targets ...string) {
		for _, target := range targets {
			if target == "" || probed[target] {
				continue
			}
			probed[target] = true
			pending++
			go func() {
				status, err := c.probe(ctx, target)
				if err != nil {
					status = nil
				}
				select {
				case results <- probeResult{target, status}:
				case <-ctx.Done():
				}
			}()
		}
	}
	startProbes(c.knownAddresses()...)
	for ; pending > 0; pending-- {
		select {
		case a := <-results:
			if a.status == nil {
				continue
			}
			if !a.status.Failing {
				answered++
				c.applyStatus(a.status)
			}
			if a.status.Leads {
				return a.address, answered
			}
			startProbes(a.status.Leader)
			startProbes(a.status.Members...)
		case <-ctx.Done():
			return "", answered
		}
	}
	return "", answered
}

// knownAddresses returns the addresses of the seeds and the members, sorted and without duplicates.
func (c *Client) knownAddresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := slices.Concat(c.seeds, c.members)
	slices.Sort(list)
	return slices.Compact(list)
}

func (c *Client) applyStatus(status *LeaderStatus) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(status.Members) > 0 {
		c.members = status.Members
	}
	if status.Leads {
		c.limits = status.Limits
		c.seen = max(c.seen, status.Applied)
	}
}

// probe asks one instance for its report about the leader.
func (c *Client) probe(ctx context.Context, target string) (*LeaderStatus, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target+LeaderPath, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	status := &LeaderStatus{}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(status); err != nil {
		return status, Error.Wrap(err)
	}
	c.recordFormat(target, status.Format)
	return status, nil
}

// maxFormats bounds the addresses whose formats are kept, in case that members change often.
const maxFormats = 256

func (c *Client) recordFormat(address string, format int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.formats) >= maxFormats {
		clear(c.formats)
	}
	c.formats[address] = format
}

// formatOf returns the newest format of commands that an instance understood when it was last asked; 0 if that is unknown.
func (c *Client) formatOf(address string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.formats[address]
}

// MemberFormat returns the newest format of commands that the instances at all addresses understand; 0 if one doesn't answer.
func (c *Client) MemberFormat(ctx context.Context, addresses []string) int {
	formats := make(chan int)
	for _, address := range addresses {
		go func() {
			status, err := c.probe(ctx, address)
			if err != nil {
				status = &LeaderStatus{}
			}
			formats <- status.Format
		}()
	}
	lowest := ledger.NewestFormat
	for range addresses {
		lowest = min(lowest, <-formats)
	}
	return lowest
}
