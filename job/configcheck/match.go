package configcheck

import (
	"strings"

	"github.com/ibispier/ibispier/job"
)

const (
	// idDigits is the length of a job's ID, which follows the prefix in a path.
	idDigits = 16
	// hexDigits are the digits that job.ValidID accepts.
	hexDigits = "0123456789abcdefABCDEF"
	// hostCharacters are the characters of a host name or address without a port.
	hostCharacters = "abcdefghijklmnopqrstuvwxyz0123456789.-_:[]"
)

// checkMatches finds entries that no request can reach.
func (l *findingList) checkMatches(c *job.Config) {
	used := map[string]bool{}
	queueNames, serviceNames := map[string]bool{}, map[string]bool{}
	for i := range c.Queues {
		q := &c.Queues[i]
		used[q.Service] = true
		l.checkName(KindQueue, q.Name, queueNames)
		l.checkHost(q)
		l.checkPrefix(q)
		l.checkCover(c, q)
	}
	for _, s := range c.Services {
		l.checkName(KindService, s.Name, serviceNames)
		if !used[s.Name] {
			l.warn(KindService, s.Name, "no queue names this service")
		}
	}
}

func (l *findingList) checkName(kind Kind, name string, seen map[string]bool) {
	if name == "" {
		l.warn(kind, name, "an entry has no name")
	} else if seen[name] {
		l.warn(kind, name, "more than one entry has this name")
	}
	seen[name] = true
}

// checkHost finds hosts that no request has. The port of a request's host is removed
// before the comparison, which distinguishes upper and lower case.
func (l *findingList) checkHost(q *job.Queue) {
	switch {
	case q.Host == "":
		l.warn(KindQueue, q.Name, "host is empty; no request matches")
	case strings.Count(q.Host, ":") == 1 || strings.Contains(q.Host, "]:"):
		l.warn(KindQueue, q.Name, "host %q has a port; hosts are compared without it, so no request matches", q.Host)
	case strings.ToLower(q.Host) != q.Host:
		l.warn(KindQueue, q.Name, "host %q has upper-case letters; it matches only callers that send it in the same case", q.Host)
	case strings.Trim(q.Host, hostCharacters) != "":
		l.warn(KindQueue, q.Name, "host %q has characters that a host cannot have; no request matches", q.Host)
	}
}

// checkPrefix finds prefixes that no submission has. A job's ID is the last segment of
// the path, and paths are compared after percent-decoding.
func (l *findingList) checkPrefix(q *job.Queue) {
	switch {
	case !strings.HasPrefix(q.Prefix, "/"):
		l.warn(KindQueue, q.Name, "prefix %q does not begin with a slash; no submission matches", q.Prefix)
	case !strings.HasSuffix(q.Prefix, "/"):
		l.warn(KindQueue, q.Name, "prefix %q does not end with a slash; submissions are refused, because a job's id is the last segment of the path", q.Prefix)
	}
	if strings.ContainsAny(q.Prefix, "?#%") || strings.ContainsFunc(q.Prefix, isControl) {
		l.warn(KindQueue, q.Name, "prefix %q has characters that a path carries only percent-encoded; it matches only callers that encode them", q.Prefix)
	}
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f }

// checkCover finds IDs with which a submission to the queue matches the longer prefix
// of another queue. It is refused there, because the rest of its path is not an ID.
func (l *findingList) checkCover(c *job.Config, q *job.Queue) {
	var tails, others []string
	for i := range c.Queues {
		o := &c.Queues[i]
		tail, longer := strings.CutPrefix(o.Prefix, q.Prefix)
		if o.Host == q.Host && longer && tail != "" && len(tail) <= idDigits && strings.Trim(tail, hexDigits) == "" {
			tails = append(tails, tail)
			others = append(others, o.Name)
		}
	}
	if coverAll(tails) {
		l.warn(KindQueue, q.Name, "longer prefixes on the same host cover every id; no submission matches")
		return
	}
	for i, tail := range tails {
		l.warn(KindQueue, q.Name, "submissions whose id begins with %q match queue %q and are refused", tail, others[i])
	}
}

// coverAll reports whether every ID begins with one of the tails.
func coverAll(tails []string) bool {
	if len(tails) == 0 {
		return false
	}
	rest := map[byte][]string{}
	for _, tail := range tails {
		if tail == "" {
			return true
		}
		rest[tail[0]] = append(rest[tail[0]], tail[1:])
	}
	for i := range len(hexDigits) {
		if !coverAll(rest[hexDigits[i]]) {
			return false
		}
	}
	return true
}
