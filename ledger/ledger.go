package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/zeebo/errs"

	"github.com/ibispier/ibispier/controlapi"
)

// Error is the class of all errors of this package.
var Error = errs.Class("ledger")

// ErrFull is returned by Claim when the maximum number of keys is reached. The
// request did not run and can be sent again.
var ErrFull = Error.Wrap(&controlapi.Error{Reason: "overloaded", Message: "the ledger has reached its maximum number of keys"})

// Defaults of Options.
const (
	DefaultRetention = 24 * time.Hour
	// DefaultMaxKeys and DefaultMaxTotalBodyBytes keep the ledger below 140 MB
	// at 227 bytes a key, next to 63 MB for the tasks and changes of two years.
	DefaultMaxKeys = 400_000
	// DefaultMaxBodyBytes is the size of the largest body that is recorded. A
	// duplicate of a request with a larger response gets only the outcome and
	// the status.
	DefaultMaxBodyBytes = 16 << 10
	// DefaultMaxTotalBodyBytes limits the bodies of all keys together. The
	// oldest are dropped first.
	DefaultMaxTotalBodyBytes = 48 << 20
	// expiryMargin keeps a key beyond the age at which requests are refused,
	// which covers the difference between the clocks of successive leaders.
	expiryMargin = time.Minute
)

// ReasonBodyNotKept marks a recorded outcome whose body was too large or was
// dropped.
const ReasonBodyNotKept = "body_not_kept"

// Options limit a Ledger.
type Options struct {
	Retention         time.Duration
	MaxKeys           int
	MaxBodyBytes      int
	MaxTotalBodyBytes int
}

// DefaultOptions returns the limits used in a deployment.
func DefaultOptions() Options {
	return Options{
		Retention:         DefaultRetention,
		MaxKeys:           DefaultMaxKeys,
		MaxBodyBytes:      DefaultMaxBodyBytes,
		MaxTotalBodyBytes: DefaultMaxTotalBodyBytes,
	}
}

// Hash is a truncated SHA-256 that represents a text in the ledger. With 16
// bytes, a collision among a million keys is less likely than 1 in 10^26.
type Hash [16]byte

func hashOf(parts ...string) Hash {
	h := sha256.New()
	var length [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		h.Write(length[:])
		h.Write([]byte(p))
	}
	return Hash(h.Sum(nil)[:16])
}

// Phase is the state of a key.
type Phase uint8

// Phases of a key.
const (
	Pending  Phase = iota // claimed; the attempt may have been dispatched
	Resolved              // the outcome is recorded
	Free                  // the holder has proved that the request did not run
)

// Record is the entry of one key.
type Record struct {
	Key       Hash
	Digest    Hash
	Claimant  Hash
	Epoch     uint64
	ClaimedAt int64 // Unix milliseconds
	Target    uint32
	Phase     Phase
	Outcome   *controlapi.Recorded
}

// Ledger holds the keys of the retention window.
//
// Invariants: at most one claim of a key is pending, a pending claim has a
// higher epoch than all earlier claims, and a key is claimed again only after
// the previous claim was proved "not run".
type Ledger struct {
	options       Options
	records       queue             // in the order of the first claim
	index         map[Hash]uint64   // key -> position in records
	targetIDs     map[string]uint32 // interned names
	targetNames   []string
	epoch         uint64 // of the last claim
	bodyBytes     int    // size of the recorded bodies and headers
	firstWithBody uint64 // no record before this position has a body
}

// New returns an empty Ledger.
func New(o Options) *Ledger {
	return &Ledger{options: o, index: map[Hash]uint64{}, targetIDs: map[string]uint32{}}
}

// Len returns the number of keys.
func (l *Ledger) Len() int { return l.records.len() }

// Claim claims a key for a dispatch to r.Target. A claim that is sent again
// while it is pending gets the first answer.
func (l *Ledger) Claim(now time.Time, r controlapi.ClaimRequest) (controlapi.ClaimResponse, error) {
	l.expire(now)
	if time.Duration(r.IssuedAgeMillis)*time.Millisecond >= l.options.Retention {
		return controlapi.ClaimResponse{State: controlapi.ClaimExpired}, nil
	}
	key := hashOf(r.Customer, r.Service, r.Key.Key)
	position, known := l.index[key]
	if !known {
		if l.records.len() >= l.options.MaxKeys {
			return controlapi.ClaimResponse{}, ErrFull
		}
		position = l.records.push(Record{Key: key, Digest: hashOf(r.Digest), ClaimedAt: now.UnixMilli(), Phase: Free})
		l.index[key] = position
	}
	return l.claim(l.records.at(position), r), nil
}

func (l *Ledger) claim(k *Record, r controlapi.ClaimRequest) controlapi.ClaimResponse {
	claimant := hashOf(r.Claimant)
	switch {
	case k.Digest != hashOf(r.Digest):
		return controlapi.ClaimResponse{State: controlapi.ClaimConflict, Epoch: k.Epoch}
	case k.Phase == Resolved:
		return controlapi.ClaimResponse{State: controlapi.ClaimRecorded, Epoch: k.Epoch, Target: l.targetNames[k.Target], Outcome: k.Outcome}
	case k.Phase == Pending && k.Claimant == claimant && l.targetNames[k.Target] == r.Target:
		return controlapi.ClaimResponse{State: controlapi.ClaimGranted, Epoch: k.Epoch, Target: r.Target}
	case k.Phase == Pending, k.Epoch != 0 && k.Claimant == claimant:
		// A late copy of a claim that has ended with "not run" must not take
		// the key again: its claimant is no longer waiting for it.
		return controlapi.ClaimResponse{State: controlapi.ClaimPending, Epoch: k.Epoch, Target: l.targetNames[k.Target]}
	}
	l.epoch++
	k.Epoch = l.epoch
	k.Claimant = claimant
	k.Target = l.intern(r.Target)
	k.Phase = Pending
	return controlapi.ClaimResponse{State: controlapi.ClaimGranted, Epoch: k.Epoch, Target: r.Target}
}

// Lookup returns the state of a key without claiming it.
func (l *Ledger) Lookup(r controlapi.LookupRequest) controlapi.ClaimResponse {
	position, known := l.index[hashOf(r.Customer, r.Service, r.Key.Key)]
	if !known {
		return controlapi.ClaimResponse{State: controlapi.ClaimFree}
	}
	k := l.records.at(position)
	resp := controlapi.ClaimResponse{State: controlapi.ClaimFree, Epoch: k.Epoch}
	switch {
	case k.Digest != hashOf(r.Digest):
		resp.State = controlapi.ClaimConflict
	case k.Phase == Resolved:
		resp.State, resp.Target, resp.Outcome = controlapi.ClaimRecorded, l.targetNames[k.Target], k.Outcome
	case k.Phase == Pending:
		resp.State, resp.Target = controlapi.ClaimPending, l.targetNames[k.Target]
	}
	return resp
}

func (l *Ledger) intern(target string) uint32 {
	id, known := l.targetIDs[target]
	if !known {
		id = uint32(len(l.targetNames))
		l.targetNames = append(l.targetNames, target)
		l.targetIDs[target] = id
	}
	return id
}

// Resolve records the outcome of the claim with the given epoch and reports
// whether the claim has that outcome now. "not run" frees the key. "unknown"
// may be replaced later by an outcome that the holder proves; all other
// outcomes are final.
func (l *Ledger) Resolve(now time.Time, r controlapi.ResolveRequest) bool {
	l.expire(now)
	position, known := l.index[hashOf(r.Customer, r.Service, r.Key.Key)]
	if !known {
		return false
	}
	k := l.records.at(position)
	notRun := r.Outcome.Outcome == "not-run"
	switch {
	case r.Epoch == 0 || r.Epoch > k.Epoch:
		return false
	case r.Epoch < k.Epoch:
		// The key was claimed anew, so "not run" was accepted for the earlier
		// claims. A copy of that outcome is acknowledged without effect.
		return notRun
	}
	switch {
	case k.Phase == Free:
		return notRun
	case k.Phase == Resolved && k.Outcome.Outcome != "unknown":
		return k.Outcome.Outcome == r.Outcome.Outcome
	case notRun:
		l.dropOutcome(k)
		k.Phase = Free
	default:
		l.dropOutcome(k)
		l.recordOutcome(position, k, r.Outcome)
	}
	return true
}

func (l *Ledger) recordOutcome(position uint64, k *Record, outcome controlapi.Recorded) {
	if len(outcome.Body) > l.options.MaxBodyBytes {
		outcome.Body = nil
		outcome.Reason = ReasonBodyNotKept
	}
	k.Phase = Resolved
	k.Outcome = &outcome
	l.bodyBytes += sizeOf(k.Outcome)
	l.firstWithBody = min(l.firstWithBody, position)
	for l.bodyBytes > l.options.MaxTotalBodyBytes && l.firstWithBody < l.records.end() {
		l.dropBody(l.records.at(l.firstWithBody))
		l.firstWithBody++
	}
}

// dropBody keeps only the outcome and the status of a key. The Recorded is
// replaced and not modified, because responses may share it.
func (l *Ledger) dropBody(k *Record) {
	if k.Outcome == nil || sizeOf(k.Outcome) == 0 {
		return
	}
	l.bodyBytes -= sizeOf(k.Outcome)
	k.Outcome = &controlapi.Recorded{Outcome: k.Outcome.Outcome, Status: k.Outcome.Status, Reason: ReasonBodyNotKept}
}

func (l *Ledger) dropOutcome(k *Record) {
	if k.Outcome != nil {
		l.bodyBytes -= sizeOf(k.Outcome)
		k.Outcome = nil
	}
}

func sizeOf(r *controlapi.Recorded) int {
	size := len(r.Body)
	for _, f := range r.Header {
		size += len(f.Name) + len(f.Value)
	}
	return size
}

// expire drops the keys that are older than the retention window. Requests of
// that age are refused by their issue age, so their keys are not needed any
// more.
func (l *Ledger) expire(now time.Time) {
	oldest := now.Add(-l.options.Retention - expiryMargin).UnixMilli()
	for l.records.len() > 0 && l.records.front().ClaimedAt < oldest {
		k := l.records.front()
		l.dropOutcome(k)
		delete(l.index, k.Key)
		l.records.pop()
	}
	l.firstWithBody = max(l.firstWithBody, l.records.first)
}

// Image is the content of a Ledger in a snapshot.
type Image struct {
	Epoch   uint64
	Targets []string
	Records []Record // in the order of the first claim
}

// Image returns the content of the Ledger. It shares the outcomes, which must
// not be modified.
func (l *Ledger) Image() Image {
	img := Image{Epoch: l.epoch, Targets: l.targetNames[:len(l.targetNames):len(l.targetNames)]}
	img.Records = make([]Record, 0, l.records.len())
	for i := l.records.first; i < l.records.end(); i++ {
		img.Records = append(img.Records, *l.records.at(i))
	}
	return img
}

// Restore returns a Ledger with the content of an image.
func Restore(o Options, img Image) *Ledger {
	l := New(o)
	l.epoch = img.Epoch
	l.index = make(map[Hash]uint64, len(img.Records))
	for _, name := range img.Targets {
		l.intern(name)
	}
	for _, r := range img.Records {
		l.index[r.Key] = l.records.push(r)
		if r.Outcome != nil {
			l.bodyBytes += sizeOf(r.Outcome)
		}
	}
	return l
}
