package dispatch

import (
	"time"

	"laburnumrouter/internal/request/ledger"
)

// configProposals counts the proposals of the newest configuration in this session. It is guarded by engine.mu.
type configProposals struct {
	version  int64
	number   int
	underWay int
}

// begin counts a proposal of a version. It returns how many there were before, and how many of them aren't decided yet.
func (p *configProposals) begin(version int64) (before, underWay int) {
	if version > p.version {
		*p = configProposals{version: version}
	}
	if version != p.version {
		return 0, 0
	}
	before, underWay = p.number, p.underWay
	p.number++
	p.underWay++
	return before, underWay
}

func (p *configProposals) end(version int64) {
	if version == p.version {
		p.underWay--
	}
}

// proposeConfig commits a configuration, whose size as sent is sent and whose command has some bytes, for a request and logs its way: what
// is proposed, whether it was before, and how long the verdict took.
func (s *session) proposeConfig(request string, version int64, sent, bytes int, command *ledger.Command) (*ledger.Result, error) {
	inForce := int64(0)
	s.engine.mu.Lock()
	if index := s.engine.ledger.Index(); index != nil {
		inForce = index.Config().Version
	}
	before, underWay := s.configProposals.begin(version)
	s.engine.mu.Unlock()
	s.log.Info("configuration proposed", "request", request, "version", version, "in_force", inForce, "sent_bytes", sent,
		"entry_bytes", bytes, "proposed_before", before, "under_way", underWay)
	s.stats.configProposals.Inc(1)
	s.stats.configBytes.Update(float64(bytes))
	began := time.Now()
	result, err := s.propose(command)
	took := time.Since(began)
	s.engine.mu.Lock()
	s.configProposals.end(version)
	s.engine.mu.Unlock()
	if err != nil {
		s.log.Warn("configuration not decided", "request", request, "version", version, "took", took, "error", err)
		return nil, err
	}
	s.stats.configCommit.Record(took)
	s.log.Info("configuration decided", "request", request, "version", version, "verdict", result.Config, "took", took)
	return result, nil
}
