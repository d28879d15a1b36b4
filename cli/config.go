package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/ibispier/ibispier/job/configcheck"
	"github.com/ibispier/ibispier/platform"
)

// configCheck checks a configuration without sending it. A file that cannot be decoded
// is an error of the configuration; one that cannot be opened is an error of usage.
func configCheck(f *flag.FlagSet) action {
	path := f.String("in-force", "", "compare with the version in this file")
	from := f.String("from", "", "compare with the version in force, read from these operator addresses of control, ip:port separated by commas")
	return func(ctx context.Context, s *session, args []string) error {
		if *path != "" && *from != "" {
			return usagef("-in-force and -from exclude each other")
		}
		data, err := os.ReadFile(args[0])
		if err != nil {
			return usageError{err}
		}
		next, err := platform.DecodeForCheck(data)
		if err != nil {
			return s.printFindings(args[0], []configcheck.Finding{
				{Severity: configcheck.SeverityError, Kind: configcheck.KindFile, Message: err.Error()},
			})
		}
		inForce, err := s.versionInForce(ctx, *path, *from)
		if err != nil {
			return err
		}
		return s.printFindings(args[0], configcheck.Check(next, inForce))
	}
}

// versionInForce reads the version to compare with, or returns nil if none is named.
func (s *session) versionInForce(ctx context.Context, path, from string) (*configcheck.Version, error) {
	var data []byte
	var err error
	switch {
	case path != "":
		if data, err = os.ReadFile(path); err != nil {
			return nil, usageError{err}
		}
	case from != "":
		if data, err = s.client.Document(ctx, splitList(from), platform.ConfigPath); err != nil {
			return nil, err
		}
	default:
		return nil, nil
	}
	v, err := platform.DecodeForCheck(data)
	if err != nil {
		return nil, Error.New("step=read version in force from=%s: %w", orDefault(path, from), err)
	}
	return &v, nil
}

// printFindings prints one line for each finding, and fails if one is an error.
func (s *session) printFindings(path string, findings []configcheck.Finding) error {
	if findings == nil {
		findings = []configcheck.Finding{}
	}
	err := s.print(findings, func(w io.Writer) error {
		for _, f := range findings {
			if _, err := fmt.Fprintln(w, f); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	if count := configcheck.ErrorCount(findings); count > 0 {
		return Error.New("step=check file=%s errors=%d", path, count)
	}
	return nil
}
