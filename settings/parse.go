package settings

import (
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"
	"gopkg.in/ini.v1"
)

// Error is the class of all errors of this package.
var Error = errs.Class("settings")

// Key is the specification of one setting.
type Key struct {
	Section     string
	Name        string
	Unit        string
	Default     string
	Description string
	parser      valueParser
}

// Range describes the accepted values.
func (k Key) Range() string { return k.parser.accepted }

func (k Key) fullName() string { return k.Section + "." + k.Name }

// parse rejects quotes, continuation lines and variables, which the INI library
// interprets. No setting needs them, and a value with one of them would change
// when the effective settings are printed and loaded again.
func (k Key) parse(text string) error {
	if strings.ContainsAny(text, "\r\n\"'`\\") || strings.Contains(text, "%(") {
		return errs.New("%q has several lines, a quote, a backslash or %%(", text)
	}
	return k.parser.parse(text)
}

// valueParser parses the text of a setting into a field of Settings.
type valueParser struct {
	accepted string // description of the accepted values
	parse    func(text string) error
}

// Load reads and checks the settings file at path.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.New("file=%s: %w", path, err)
	}
	s, err := Parse(path, data)
	if err != nil {
		return nil, err
	}
	return s, s.check(path)
}

// Parse parses data, the content of the settings file at path; path is used only
// in errors. It checks each setting by itself, but not their combination.
func Parse(path string, data []byte) (*Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{
		Insensitive:         false,
		IgnoreInlineComment: true,
	}, data)
	if err != nil {
		return nil, Error.New("file=%s: %s", path, strings.Join(strings.Fields(err.Error()), " "))
	}
	return fromFile(path, file)
}

// Default returns the settings of an empty file.
func Default() *Settings {
	s, err := fromFile("", ini.Empty())
	if err != nil {
		panic(err)
	}
	return s
}

func fromFile(path string, file *ini.File) (*Settings, error) {
	s := &Settings{texts: map[string]string{}}
	keys := Keys(s)
	if err := rejectUnknown(path, file, keys); err != nil {
		return nil, err
	}
	for _, k := range keys {
		text := k.Default
		if section := file.Section(k.Section); section.HasKey(k.Name) {
			text = section.Key(k.Name).String()
		}
		if err := k.parse(text); err != nil {
			return nil, Error.New("file=%s section=%s key=%s: %w", path, k.Section, k.Name, err)
		}
		s.texts[k.fullName()] = text
	}
	s.expandSeeds()
	return s, nil
}

// expandSeeds derives the control members from the seeds. The id of a member is
// its IP address, because seeds have no names.
func (s *Settings) expandSeeds() {
	if len(s.Cluster.Seeds) == 0 || len(s.Cluster.Control) > 0 {
		return
	}
	for _, seed := range s.Cluster.Seeds {
		id := netip.MustParseAddrPort(seed).Addr().String()
		address, err := s.Cluster.MemberAddress(id)
		if err != nil {
			panic(err) // cannot happen: the id is an IP address
		}
		s.Cluster.Control = append(s.Cluster.Control, Member{ID: id, Address: address})
	}
}

// MemberAddress returns the address of a control member whose id is its IP
// address, as for members that are derived from seeds.
func (c *Cluster) MemberAddress(id string) (string, error) {
	ip, err := netip.ParseAddr(id)
	if err != nil {
		return "", Error.New("step=address member=%s: %w", id, err)
	}
	return netip.AddrPortFrom(ip, uint16(c.Port)).String(), nil
}

func rejectUnknown(path string, file *ini.File, keys []Key) error {
	known := map[string]map[string]bool{ini.DefaultSection: {}}
	for _, k := range keys {
		if known[k.Section] == nil {
			known[k.Section] = map[string]bool{}
		}
		known[k.Section][k.Name] = true
	}
	for _, section := range file.Sections() {
		names, ok := known[section.Name()]
		if !ok {
			return Error.New("file=%s section=%s: unknown section", path, section.Name())
		}
		for _, key := range section.Keys() {
			if !names[key.Name()] {
				return Error.New("file=%s section=%s key=%s: unknown key", path, section.Name(), key.Name())
			}
		}
	}
	return nil
}

func text(field *string) valueParser {
	return valueParser{"text", func(s string) error {
		*field = s
		return nil
	}}
}

func choice(field *string, options ...string) valueParser {
	return valueParser{strings.Join(options, ", "), func(s string) error {
		if !contains(options, s) {
			return errs.New("%q is not one of %s", s, strings.Join(options, ", "))
		}
		*field = s
		return nil
	}}
}

func list(field *[]string, options ...string) valueParser {
	return valueParser{"any of " + strings.Join(options, ", "), func(s string) error {
		*field = splitList(s)
		for _, item := range *field {
			if !contains(options, item) {
				return errs.New("%q is not one of %s", item, strings.Join(options, ", "))
			}
		}
		return nil
	}}
}

func integer[T int | int64](field *T, low, high T) valueParser {
	accepted := strconv.FormatInt(int64(low), 10) + ".." + strconv.FormatInt(int64(high), 10)
	return valueParser{accepted, func(s string) error {
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil {
			return errs.New("%q is not a whole number", s)
		}
		if n < int64(low) || n > int64(high) {
			return errs.New("%d is outside %s", n, accepted)
		}
		*field = T(n)
		return nil
	}}
}

func fraction(field *float64) valueParser {
	return valueParser{"0..1", func(s string) error {
		f, err := strconv.ParseFloat(s, 64)
		if err != nil || !(f >= 0 && f <= 1) {
			return errs.New("%q is not a number in 0..1", s)
		}
		*field = f
		return nil
	}}
}

func boolean(field *bool) valueParser {
	return valueParser{"true, false", func(s string) error {
		b, err := strconv.ParseBool(s)
		if err != nil {
			return errs.New("%q is not true or false", s)
		}
		*field = b
		return nil
	}}
}

func duration(field *time.Duration, lowSeconds, highSeconds float64) valueParser {
	low := time.Duration(lowSeconds * float64(time.Second))
	high := time.Duration(highSeconds * float64(time.Second))
	accepted := low.String() + ".." + high.String()
	return valueParser{accepted, func(s string) error {
		d, err := time.ParseDuration(s)
		if err != nil {
			return errs.New("%q is not a duration with a unit, such as 500ms", s)
		}
		if d < low || d > high {
			return errs.New("%s is outside %s", d, accepted)
		}
		*field = d
		return nil
	}}
}

func address(field *string) valueParser {
	return valueParser{"ip:port", func(s string) error {
		if err := checkAddress(s); err != nil {
			return err
		}
		*field = s
		return nil
	}}
}

// optional also accepts an empty text.
func optional(v valueParser) valueParser {
	return valueParser{"empty or " + v.accepted, func(s string) error {
		if s == "" {
			return nil
		}
		return v.parse(s)
	}}
}

func addresses(field *[]string) valueParser {
	return valueParser{"ip:port, ...", func(s string) error {
		*field = splitList(s)
		for _, item := range *field {
			if err := checkAddress(item); err != nil {
				return err
			}
		}
		return nil
	}}
}

func members(field *[]Member) valueParser {
	return valueParser{"id@ip:port, ...", func(s string) error {
		*field = nil
		for _, item := range splitList(s) {
			id, addr, found := strings.Cut(item, "@")
			if !found || id == "" {
				return errs.New("%q is not id@ip:port", item)
			}
			if err := checkAddress(addr); err != nil {
				return err
			}
			*field = append(*field, Member{ID: id, Address: addr})
		}
		return nil
	}}
}

// checkAddress accepts IP addresses but no host names, because processes do not
// depend on a name service.
func checkAddress(s string) error {
	if _, err := netip.ParseAddrPort(s); err != nil {
		return errs.New("%q is not ip:port", s)
	}
	return nil
}

func splitList(s string) []string {
	var items []string
	for _, item := range strings.Split(s, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

func contains(options []string, s string) bool {
	for _, o := range options {
		if o == s {
			return true
		}
	}
	return false
}
