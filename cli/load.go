package cli

import (
	"context"
	"flag"
	"time"

	"github.com/ibispier/ibispier/load"
)

func loadCommand(f *flag.FlagSet) action {
	o := new(load.Options)
	f.StringVar(&o.Service, "service", "", "service to call")
	f.StringVar(&o.Path, "path", "/", "path at the target")
	f.StringVar(&o.Customer, "customer", "", "customer that the requests are sent for")
	f.Float64Var(&o.Rate, "rate", 100, "requests per second outside waves")
	f.DurationVar(&o.Duration, "duration", 0, "how long to send requests (default 10s)")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the arrival times and of the request mix")
	f.IntVar(&o.Senders, "senders", 64, "maximum number of requests in flight")
	f.Float64Var(&o.IdempotentShare, "idempotent", 1, "share of idempotent requests, 0..1")
	f.DurationVar(&o.Deadline, "deadline", 0, "deadline of each request (default 1s)")
	f.IntVar(&o.BodyBytes, "body", 64, "bytes in the body of requests that are not idempotent")
	f.DurationVar(&o.Wave.Period, "wave-period", 0, "time from the start of one wave to the next; 0 for no waves")
	f.DurationVar(&o.Wave.Length, "wave-length", 0, "length of a wave")
	f.Float64Var(&o.Wave.Factor, "wave-factor", 2, "rate in a wave relative to the rate outside")
	f.DurationVar(&o.ProgressInterval, "progress", 0, "time between progress lines on standard error (default 5s)")
	check := f.String("check", "echo", "check of responses: echo (for the stand-in target) or none")
	return func(ctx context.Context, s *session, _ []string) error {
		o.Entries, o.Progress = s.entries, s.env.Stderr
		if o.Duration == 0 {
			o.Duration = defaultLoadDuration
		}
		switch *check {
		case "echo":
		case "none":
			o.Check = load.NoCheck
		default:
			return usagef("-check must be echo or none")
		}
		if err := o.Validate(); err != nil {
			return usageError{err}
		}
		result, err := load.Run(ctx, *o)
		if err != nil {
			return err
		}
		if err := s.print(result, result.Print); err != nil {
			return err
		}
		return resultError(result)
	}
}

// resultError returns an error if responses were wrong, the run was interrupted or
// no entry instance responded. Refusals under load are a valid result.
func resultError(r *load.Result) error {
	switch {
	case r.Wrong > 0:
		return Error.New("step=check: %d responses belong to another request or are incomplete", r.Wrong)
	case r.Interrupted:
		return Error.New("step=send: interrupted")
	case r.Sent > 0 && r.Unknown["no_answer"] == r.Sent:
		return Error.New("step=send: no entry instance responded")
	}
	return nil
}

const defaultLoadDuration = 10 * time.Second
