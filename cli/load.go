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
	f.StringVar(&o.Customer, "customer", "", "customer on whose behalf")
	f.Float64Var(&o.Rate, "rate", 100, "requests per second outside waves")
	f.DurationVar(&o.Duration, "duration", 0, "time in which requests are sent (default 10s)")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of arrivals and of the mix")
	f.IntVar(&o.Senders, "senders", 64, "requests in flight at most")
	f.Float64Var(&o.IdempotentShare, "idempotent", 1, "share of idempotent requests, 0..1")
	f.DurationVar(&o.Deadline, "deadline", 0, "deadline of each request (default 1s)")
	f.IntVar(&o.BodyBytes, "body", 64, "bytes in the body of requests that are not idempotent")
	f.DurationVar(&o.Wave.Period, "wave-period", 0, "time from wave to wave; 0 for no waves")
	f.DurationVar(&o.Wave.Length, "wave-length", 0, "length of a wave")
	f.Float64Var(&o.Wave.Factor, "wave-factor", 2, "rate in a wave relative to the rate outside")
	f.DurationVar(&o.ProgressInterval, "progress", 0, "time between progress lines on standard error (default 5s)")
	check := f.String("check", "echo", "check of answers: echo (the stand-in target's) or none")
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

// resultError makes wrong answers a failure of the command. Refusals under load are a
// result and no failure.
func resultError(r *load.Result) error {
	switch {
	case r.Wrong > 0:
		return Error.New("step=check: %d answers are not the caller's own or not whole", r.Wrong)
	case r.Interrupted:
		return Error.New("step=send: interrupted")
	case r.Sent > 0 && r.Unknown["no_answer"] == r.Sent:
		return Error.New("step=send: no entry instance answered")
	}
	return nil
}

const defaultLoadDuration = 10 * time.Second
