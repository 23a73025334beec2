package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"laburnumrouter/internal/request/outcome"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	announceInterval     = time.Second
	maxAnnouncementBytes = 256 << 10
	stateServing         = "serving"
	stateLeaving         = "leaving"
)

// Announcement is the body of PUT /v1/instances/{id}.
type Announcement struct {
	Address     string   `json:"address"` // IP:port that takes requests
	DataCentre  string   `json:"data_centre"`
	Rack        string   `json:"rack"`
	Services    []string `json:"services"`
	Slots       uint32   `json:"slots"`
	Incarnation uint64   `json:"incarnation"` // milliseconds since the Unix epoch at the server's start
	Sequence    uint64   `json:"sequence"`    // grows with each announcement of an incarnation
	State       string   `json:"state"`       // serving or leaving
	Running     []string `json:"running"`     // ids of requests that run
	// Resources are what the instance offers to tasks of jobs; nil if it takes none.
	Resources *AnnouncedResources `json:"resources,omitempty"`
	Epoch     uint64              `json:"epoch"` // highest epoch received in an AnnouncementReply, 0 before the first
}

// AnnouncedResources are what an instance offers to tasks.
type AnnouncedResources struct {
	MilliCPU     uint32 `json:"milli_cpu"` // thousandths of a processor
	MemoryBytes  uint64 `json:"memory_bytes"`
	Accelerators uint32 `json:"accelerators"`
}

// AnnouncementReply tells a backend server its assignment and when to announce itself again.
type AnnouncementReply struct {
	Pool   string `json:"pool"`
	Epoch  uint64 `json:"epoch"` // of the assignment
	State  string `json:"state"`
	NextMS int64  `json:"next_ms"`
}

func (e *Entry) serveAnnouncement(w http.ResponseWriter, r *http.Request) {
	if !e.backendAuthorized(r) {
		e.refuse(w, nil, outcome.Refuse(http.StatusUnauthorized, "bad-backend-key", "the key of backend servers is missing or wrong"))
		return
	}
	var a Announcement
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)).Decode(&a)
	if err != nil {
		e.refuse(w, nil, bodyRefusal("bad-announcement", err))
		return
	}
	if problem := a.check(e.settings.DataCentre); problem != "" {
		e.refuse(w, nil, outcome.Refuse(http.StatusBadRequest, "bad-announcement", "%s", problem))
		return
	}
	announced := a.instanceView(r.PathValue("id"))
	now := e.now()
	announced.Contested = e.contested.observe(announced, now)
	if e.directory.Observe(announced, now) {
		e.shareAnnouncement(announced, now)
	}
	e.replyAnnouncement(w, announced.Instance)
}

func (e *Entry) backendAuthorized(r *http.Request) bool {
	secret, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(secret))
	return subtle.ConstantTimeCompare(sum[:], e.backendKeyDigest) == 1
}

// check returns what is wrong with the announcement, or "" if it is valid.
func (a *Announcement) check(dataCentre string) string {
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return "address must be an IP address with a port"
	}
	if a.DataCentre != dataCentre {
		return "announce to the entries of your own data centre, here " + dataCentre
	}
	if a.Rack == "" || len(a.Services) == 0 || a.Slots == 0 || a.Incarnation == 0 {
		return "rack, services, slots and incarnation are needed"
	}
	if a.State != stateServing && a.State != stateLeaving {
		return "state must be serving or leaving"
	}
	return ""
}

func (a *Announcement) instanceView(id string) *laburnumv1.InstanceView {
	return &laburnumv1.InstanceView{
		Instance:    id,
		Address:     a.Address,
		DataCentre:  a.DataCentre,
		Rack:        a.Rack,
		Services:    a.Services,
		Slots:       a.Slots,
		Incarnation: a.Incarnation,
		Sequence:    a.Sequence,
		Leaving:     a.State == stateLeaving,
		Running:     a.Running,
		Epoch:       a.Epoch,
		Resources:   a.Resources.proto(),

		RunningComplete: true,
	}
}

func (r *AnnouncedResources) proto() *laburnumv1.Resources {
	if r == nil {
		return nil
	}
	return &laburnumv1.Resources{MilliCpu: r.MilliCPU, MemoryBytes: r.MemoryBytes, Accelerators: r.Accelerators}
}

func (e *Entry) replyAnnouncement(w http.ResponseWriter, id string) {
	reply := AnnouncementReply{NextMS: announceInterval.Milliseconds(), State: "unassigned"}
	if a := e.store.View().Assignment(id); a != nil {
		reply.Pool = a.Pool
		reply.Epoch = a.Epoch
		reply.State = strings.ToLower(strings.TrimPrefix(a.State.String(), "ASSIGNMENT_STATE_"))
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply)
}
