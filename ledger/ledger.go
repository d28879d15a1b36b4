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

// ErrFull is returned for a claim when the bound on keys is reached. The
// request did not run and can be sent again.
var ErrFull = Error.Wrap(&controlapi.Error{Reason: "overloaded", Message: "the ledger holds its maximum of keys"})

// Defaults of Options.
const (
	DefaultRetention = 24 * time.Hour
	// DefaultMaxKeys and DefaultMaxBodyBytes keep the ledger below 140 MB at
	// 227 bytes a key, next to 63 MB for the tasks and changes in two years.
	DefaultMaxKeys = 400_000
	// DefaultMaxBodyBytes is the largest body that is recorded. A duplicate of a
	// request with a larger one learns the outcome and the status only.
	DefaultMaxBodyBytes = 16 << 10
	// DefaultMaxTotalBodyBytes bounds the bodies of all keys. The oldest go first.
	DefaultMaxTotalBodyBytes = 48 << 20
	// expiryMargin keeps a key longer than requests of its age are taken, which
	// covers the difference between the clocks of successive leaders.
	expiryMargin = time.Minute
)

// ReasonBodyNotKept marks a recorded outcome whose body was too large or too
// old to be kept.
const ReasonBodyNotKept = "body_not_kept"

// Options bound a Ledger.
type Options struct {
	Retention         time.Duration
	MaxKeys           int
	MaxBodyBytes      int
	MaxTotalBodyBytes int
}

// DefaultOptions returns the bounds of a deployment.
func DefaultOptions() Options {
	return Options{
		Retention:         DefaultRetention,
		MaxKeys:           DefaultMaxKeys,
		MaxBodyBytes:      DefaultMaxBodyBytes,
		MaxTotalBodyBytes: DefaultMaxTotalBodyBytes,
	}
}

// Hash stands for a text in the ledger. 16 bytes of SHA-256 make a collision
// among a million keys less likely than 1 in 10^26.
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

// Phase is where a key stands.
type Phase uint8

// Phases of a key.
const (
	Pending  Phase = iota // claimed; a dispatch may be under way
	Resolved              // the outcome is recorded
	Free                  // the holder has proved that it did not run
)

// Record is one key.
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

// Ledger is the set of keys of the retention window.
//
// Invariants: at most one claim of a key is pending, a pending claim has an
// epoch above those of all earlier claims, and a key is claimed anew only after
// "not run" was proved for the claim before.
type Ledger struct {
	options       Options
	records       queue             // in the order of the first claim
	index         map[Hash]uint64   // key -> position in records
	targetIDs     map[string]uint32 // interned names
	targetNames   []string
	epoch         uint64 // of the last claim
	bodyBytes     int    // recorded bytes
	firstWithBody uint64 // no record before this position has a body
}

// New returns an empty Ledger.
func New(o Options) *Ledger {
	return &Ledger{options: o, index: map[Hash]uint64{}, targetIDs: map[string]uint32{}}
}

// Len returns the number of keys.
func (l *Ledger) Len() int { return l.records.len() }

// Claim claims a key for a dispatch to r.Target. A claim that is sent again
// gets the first answer while it is pending.
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
		// the key again: its claimant no longer waits for it.
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

// Resolve records the outcome of the claim with an epoch and reports whether
// the outcome is the one that holds for that claim. "not run" frees the key. "unknown" may later be
// replaced by what the holder proves; the other outcomes are final, and the
// first one stays.
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
		// claims. A copy of that gets the first answer; nothing changes.
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

// dropBody keeps the outcome and the status of a key without the content. The
// Recorded is replaced, because responses may share it.
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

// expire drops the keys that are older than the retention window. A request of
// that age is refused by its issue age, so its key is not needed any more.
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

// Image is the content of a Ledger, for snapshots.
type Image struct {
	Epoch   uint64
	Targets []string
	Records []Record // in the order of the first claim
}

// Image returns the content of the Ledger. Outcomes are shared and must not be
// changed.
func (l *Ledger) Image() Image {
	img := Image{Epoch: l.epoch, Targets: l.targetNames[:len(l.targetNames):len(l.targetNames)]}
	img.Records = make([]Record, 0, l.records.len())
	for i := l.records.first; i < l.records.end(); i++ {
		img.Records = append(img.Records, *l.records.at(i))
	}
	return img
}

// Restore returns the Ledger with the content of an image.
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
