package load

import (
	"io"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("load")

// Bounds keep a mistyped flag from loading the machine without limit.
const (
	MaxRate     = 100_000
	MaxDuration = time.Hour
	MaxSenders  = 4096
)

// Options configure a run.
type Options struct {
	Entries         []string      // addresses of entry instances, used in turn
	Service         string        // service to call
	Path            string        // path at the target, from its slash
	Customer        string        // customer on whose behalf
	Rate            float64       // requests per second outside waves
	Duration        time.Duration // time in which requests are sent
	Seed            uint64        // of arrivals and of the mix
	Senders         int           // requests in flight at most
	IdempotentShare float64       // share of idempotent requests, 0..1
	Deadline        time.Duration // deadline of each request
	BodyBytes       int           // body of non-idempotent requests
	Wave            Wave
	Check           Check     // default EchoCheck
	Progress        io.Writer // gets a line each ProgressInterval; may be nil
	// ProgressInterval defaults to 5 s.
	ProgressInterval time.Duration
}

// Wave raises the rate periodically. Period 0 means no waves.
type Wave struct {
	Period time.Duration // from the start of one wave to the start of the next
	Length time.Duration // of a wave
	Factor float64       // rate in a wave relative to the rate outside
}

// in reports whether offset from the start of the run is in a wave. The run
// starts between waves.
func (w Wave) in(offset time.Duration) bool {
	return w.Period > 0 && offset%w.Period >= w.Period-w.Length
}

func (o Options) withDefaults() Options {
	if o.Senders == 0 {
		o.Senders = 64
	}
	if o.Path == "" {
		o.Path = "/"
	}
	if o.Deadline == 0 {
		o.Deadline = time.Second
	}
	if o.Check == nil {
		o.Check = EchoCheck
	}
	if o.ProgressInterval == 0 {
		o.ProgressInterval = 5 * time.Second
	}
	return o
}

// Validate finds options that cannot be run.
func (o Options) Validate() error {
	o = o.withDefaults()
	switch {
	case len(o.Entries) == 0:
		return Error.New("no entry address")
	case o.Service == "" || o.Customer == "":
		return Error.New("service and customer are needed")
	case o.Path[0] != '/':
		return Error.New("path must start with a slash")
	case !(o.Rate > 0 && o.Rate <= MaxRate):
		return Error.New("rate must be in (0, %d]", MaxRate)
	case o.Duration <= 0 || o.Duration > MaxDuration:
		return Error.New("duration must be in (0, %s]", MaxDuration)
	case o.Senders < 1 || o.Senders > MaxSenders:
		return Error.New("senders must be in 1..%d", MaxSenders)
	case !(o.IdempotentShare >= 0 && o.IdempotentShare <= 1):
		return Error.New("share of idempotent requests must be in 0..1")
	case o.Deadline < time.Millisecond || o.BodyBytes < 0 || o.BodyBytes > 1<<20:
		return Error.New("deadline must be at least 1ms and the body at most 1 MiB")
	case o.Wave.Period > 0 && (o.Wave.Length <= 0 || o.Wave.Length >= o.Wave.Period || !(o.Wave.Factor > 0) || o.Rate*o.Wave.Factor > MaxRate):
		return Error.New("a wave needs a length below its period and a factor above 0 that keeps the rate at most %d", MaxRate)
	}
	return nil
}
