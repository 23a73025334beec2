package escrow

import (
	"sync"
	"time"
)

// FenceTime is how long an entry may use its permits after its last contact with the lender; see Contacts.Fenced.
const FenceTime = 10 * time.Second

// Contacts records when the lender and other entries were last heard, or known to be down. It is safe for
// concurrent use.
type Contacts struct {
	mu          sync.Mutex
	entries     map[string]time.Time // when each was last heard or refused a connection
	lenderHeard time.Time            // last contact with the lender: the holder or, for the holder, the control log
}

// NewContacts returns contacts that count the lender as heard at now.
func NewContacts(now time.Time) *Contacts {
	return &Contacts{entries: make(map[string]time.Time), lenderHeard: now}
}

// EntryHeard records that another entry of the data centre was heard, or that its process is known to be down.
func (c *Contacts) EntryHeard(name string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries[name] = now
}

// LenderHeard records contact with the lender: the holder or, for the holder, the control log. requestedAt is the time
// at which the request was sent, as its answer may have been under way for long.
func (c *Contacts) LenderHeard(requestedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if requestedAt.After(c.lenderHeard) {
		c.lenderHeard = requestedAt
	}
}

// Fenced reports whether the entry must stop using its permits because they may have been lent to others by now. It is
// not fenced while it hears the lender, or while every other entry of the data centre is heard or known to be down: in
// that case the whole data centre is cut off, not only this entry.
func (c *Contacts) Fenced(now time.Time, others []string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.lenderHeard) < FenceTime {
		return false
	}
	for _, name := range others {
		if now.Sub(c.entries[name]) >= FenceTime {
			return true
		}
	}
	return false
}
