package configcheck

import "github.com/ibispier/ibispier/job"

const (
	// legalBodyBytes is the size of a legal submission: the longest payload, of which
	// each byte may take six in JSON (\u0000), and one step.
	legalBodyBytes = 6*job.MaxPayloadBytes + stepBytes
	// stepBytes is an upper bound on the size of a step with every field and short labels.
	stepBytes = 512
	// otherHeaderBytes is the size of a caller's header without host and path: method,
	// protocol, deadline, type and length of the body, user agent.
	otherHeaderBytes = 256
)

// checkQueueLimits finds limits of a queue that contradict each other.
func (l *findingList) checkQueueLimits(c *job.Config) {
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Attempts < 1 {
			l.warn(KindQueue, q.Name, "attempts is %d; it is treated as 1", q.Attempts)
		}
		if q.Stretch < 1 {
			l.warn(KindQueue, q.Name, "stretch is %v; it is treated as 1, because no job ends before its critical path", q.Stretch)
		}
		if q.Priority < 0 {
			l.warn(KindQueue, q.Name, "priority is %d; the highest is 0", q.Priority)
		}
		l.checkTimes(q)
	}
}

// checkTimes compares the times of a queue. A missing timeout is an error of its own.
func (l *findingList) checkTimes(q *job.Queue) {
	if q.SlackMillis < 0 {
		l.warn(KindQueue, q.Name, "slack is %d ms; it shortens the objective", q.SlackMillis)
	}
	if q.TimeoutMillis <= 0 {
		return
	}
	if q.SlackMillis > q.TimeoutMillis {
		l.warn(KindQueue, q.Name, "slack of %d ms is above the timeout of %d ms", q.SlackMillis, q.TimeoutMillis)
	}
	if q.DecisionMillis > q.TimeoutMillis {
		l.warn(KindQueue, q.Name, "advice takes %d ms, longer than the timeout of %d ms", q.DecisionMillis, q.TimeoutMillis)
	}
}

// checkConnectionLimits finds limits that legal submissions exceed.
func (l *findingList) checkConnectionLimits(v *Version) {
	if v.LimitsFault != "" {
		l.warn(KindLimits, "", "cannot be read: %s", v.LimitsFault)
	}
	if v.Limits == nil {
		return
	}
	if v.Limits.BodyBytes < legalBodyBytes {
		l.warn(KindLimits, "", "body limit of %d bytes is below %d bytes, the size of a legal submission", v.Limits.BodyBytes, legalBodyBytes)
	}
	if need := legalHeaderBytes(&v.Config); v.Limits.HeaderBytes < need {
		l.warn(KindLimits, "", "header limit of %d bytes is below %d bytes, the size of a legal header", v.Limits.HeaderBytes, need)
	}
	if v.Limits.HeaderTimeoutMillis <= 0 {
		l.warn(KindLimits, "", "header timeout is %d ms", v.Limits.HeaderTimeoutMillis)
	}
	if v.Limits.IdleTimeoutMillis <= 0 {
		l.warn(KindLimits, "", "idle timeout is %d ms", v.Limits.IdleTimeoutMillis)
	}
}

func legalHeaderBytes(c *job.Config) int64 {
	longest := 0
	for _, q := range c.Queues {
		longest = max(longest, len(q.Host)+len(q.Prefix)+idDigits)
	}
	return int64(longest + otherHeaderBytes)
}
