package jobs

import (
	"time"

	"github.com/ibispier/ibispier/controlapi"
)

// grant is a lease in an answer that its agent may still process.
type grant struct {
	orderNumber    uint64
	reportSequence uint64 // of the report that was answered
	expiry         time.Time
}

// grantLease records the lease of the next answer.
func (s *session) grantLease(expiry time.Time) {
	s.grants = append(s.grants, grant{s.orderNumber, s.report.Sequence, expiry})
	s.leaseExpiry = expiry
}

// settleGrants decides which of the granted leases the target may have, from a report
// that has arrived. An agent ignores all answers but the one to its newest report, so a
// lease that it had not seen when it sent a later report never reaches the target. If
// such leases counted, a target whose answers are lost would never count as lost. It
// reports whether there was such a lease.
func (s *session) settleGrants(report *controlapi.TargetReport) bool {
	sameAgent := s.report != nil && s.report.Agent == report.Agent && report.Sequence > 0
	var open []grant
	ignored := false
	for _, g := range s.grants {
		switch {
		case !sameAgent || g.orderNumber <= report.Seen:
			s.seenLeaseExpiry = later(s.seenLeaseExpiry, g.expiry)
		case g.reportSequence >= report.Sequence: // the control client sends a report again
			open = append(open, g)
		default:
			ignored = true
		}
	}
	s.grants, s.leaseExpiry = open, s.seenLeaseExpiry
	for _, g := range open {
		s.leaseExpiry = later(s.leaseExpiry, g.expiry)
	}
	return ignored
}

func later(x, y time.Time) time.Time {
	if y.After(x) {
		return y
	}
	return x
}
