package plan

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash"
	"math"
	"sort"

	"github.com/ibispier/ibispier/controlapi"
)

// rejectPrefix separates the two signing inputs, so that the signature of an
// approval cannot be used as that of a rejection, and vice versa.
const rejectPrefix = "reject:"

// Digest returns the SHA-256 of the content of a proposal, in base64. It covers
// the change id, the base revision and whether the overcommit check is
// overridden, so a signature is valid for one proposal only.
func Digest(r controlapi.ProposeRequest) string {
	d := digester{sha256.New()}
	d.text("ibispier change 1")
	d.text(r.ChangeID)
	d.number(r.Base)
	d.flag(r.Force)
	d.text(string(r.Change.Kind))
	d.text(r.Change.Zone)
	d.customers(r.Change.Customers)
	d.plans(r.Change.Plans)
	d.owners(r.Change.Owners)
	return base64.StdEncoding.EncodeToString(d.hash.Sum(nil))
}

// SigningInput returns the bytes that an owner signs to approve or reject the
// proposal with the given digest.
func SigningInput(digest string, reject bool) []byte {
	if reject {
		return []byte(rejectPrefix + digest)
	}
	return []byte(digest)
}

// Signature returns the signature for a SignRequest, in base64.
func Signature(key ed25519.PrivateKey, digest string, reject bool) string {
	return base64.StdEncoding.EncodeToString(ed25519.Sign(key, SigningInput(digest, reject)))
}

func verify(owners map[string]string, r controlapi.SignRequest, digest string) error {
	text, known := owners[r.Owner]
	if !known {
		return refuse(controlapi.ReasonNotAllowed, "%q is not an owner", r.Owner)
	}
	key, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(key) != ed25519.PublicKeySize {
		return refuse(controlapi.ReasonBadRequest, "owner %q has no Ed25519 public key", r.Owner)
	}
	signature, err := base64.StdEncoding.DecodeString(r.Signature)
	if err != nil || !ed25519.Verify(key, SigningInput(digest, r.Reject), signature) {
		return refuse(controlapi.ReasonNotAllowed, "the signature of %q does not match the proposal", r.Owner)
	}
	return nil
}

// digester hashes fields with a length prefix, so that different contents never
// produce the same input.
type digester struct{ hash hash.Hash }

func (d digester) number(n uint64) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], n)
	d.hash.Write(b[:])
}

func (d digester) text(s string) {
	d.number(uint64(len(s)))
	d.hash.Write([]byte(s))
}

func (d digester) flag(f bool) {
	if f {
		d.number(1)
		return
	}
	d.number(0)
}

func (d digester) customers(list []controlapi.Subscription) {
	sorted := append([]controlapi.Subscription(nil), list...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Customer < sorted[j].Customer })
	d.number(uint64(len(sorted)))
	for _, s := range sorted {
		d.text(s.Customer)
		d.text(s.Plan)
	}
}

func (d digester) plans(list []controlapi.Plan) {
	sorted := append([]controlapi.Plan(nil), list...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Name < sorted[j].Name })
	d.number(uint64(len(sorted)))
	for _, p := range sorted {
		d.plan(p)
	}
}

func (d digester) plan(p controlapi.Plan) {
	d.text(p.Name)
	d.number(uint64(len(p.Services)))
	for _, s := range p.Services {
		d.text(s)
	}
	d.number(math.Float64bits(p.RequestsPerSecond))
	for _, n := range []int64{int64(p.Concurrency), int64(p.Burst), int64(p.Priority), p.CPUMilli, p.MemoryMiB, p.Accelerators, int64(p.Tasks)} {
		d.number(uint64(n))
	}
}

func (d digester) owners(m map[string]string) {
	d.number(uint64(len(m)))
	for _, name := range sortedKeys(m) {
		d.text(name)
		d.text(m[name])
	}
}
