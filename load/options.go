package load

import (
	"io"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("load")

// Limits that keep a mistyped flag from overloading the machine.
const (
	MaxRate     = 100_000 // requests per second
	MaxDuration = time.Hour
	MaxSenders  = 4096
)

// Options configure a run.
type Options struct {
	Entries         []string      // addresses of entry instances, used in turn
	Service         string        // service to call
	Path            string        // path at the target, with the leading slash
	Customer        string        // customer that the requests are sent for
	Rate            float64       // requests per second outside waves
	Duration        time.Duration // how long to send requests
	Seed            uint64        // of the arrival times and the request mix
	Senders         int           // maximum number of requests in flight
	IdempotentShare float64       // share of idempotent requests, 0..1
	Deadline        time.Duration // deadline of each request
	BodyBytes       int           // body size of non-idempotent requests
	Wave            Wave
	Check           Check     // default EchoCheck
	Progress        io.Writer // gets a line each ProgressInterval; may be nil
	// ProgressInterval defaults to 5 s.
	ProgressInterval time.Duration
}

// Wave describes periodic bursts, in which the rate is multiplied by Factor. Period
// 0 means no waves.
type Wave struct {
	Period time.Duration // from the start of one wave to the start of the next
	Length time.Duration // of a wave
	Factor float64       // rate in a wave relative to the rate outside
}

// in reports whether a wave is active at offset from the start of the run. Each
// wave ends its period, so a run starts outside a wave.
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

// Validate reports missing and out-of-range options.
func (o Options) Validate() error {
	o = o.withDefaults()
	switch {
	case len(o.Entries) == 0:
		return Error.New("no entry address")
	case o.Service == "" || o.Customer == "":
		return Error.New("service and customer are required")
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
