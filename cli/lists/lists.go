// Package lists reads and writes the customer and plan lists as one INI file.
//
// INI is also the format of the process settings. It allows comments, and two
// versions of a file can be compared with a line-based diff.
package lists

import (
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"

	"github.com/zeebo/errs"
	"gopkg.in/ini.v1"

	"github.com/ibispier/ibispier/controlapi"
)

// Error is the class of all errors of this package.
var Error = errs.Class("lists")

const (
	customersSection = "customers"
	ownersSection    = "owners"
	planPrefix       = "plan "
	maxNameLength    = 128
)

// Lists holds the plan that each customer has bought and the limits of each plan.
type Lists struct {
	Customers []controlapi.Subscription
	Plans     []controlapi.Plan
}

// Load reads the lists in the file at path.
func Load(path string) (*Lists, error) {
	file, err := open(path)
	if err != nil {
		return nil, err
	}
	l := new(Lists)
	for _, section := range file.Sections() {
		if err := l.read(path, section); err != nil {
			return nil, err
		}
	}
	if len(l.Plans) == 0 {
		return nil, Error.New("file=%s: no section [plan NAME]", path)
	}
	return l, l.validate(path)
}

// LoadOwners reads the owners' public keys in the file at path.
func LoadOwners(path string) (map[string]string, error) {
	file, err := open(path)
	if err != nil {
		return nil, err
	}
	owners := map[string]string{}
	for _, section := range file.Sections() {
		if section.Name() != ownersSection && len(section.Keys()) > 0 {
			return nil, Error.New("file=%s section=%s: unknown section", path, section.Name())
		}
		for _, key := range section.Keys() {
			owners[key.Name()] = key.String()
		}
	}
	if len(owners) < 2 {
		return nil, Error.New("file=%s section=%s: at least two owners are needed to sign a change", path, ownersSection)
	}
	return owners, nil
}

func open(path string) (*ini.File, error) {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, KeyValueDelimiters: "="}, path)
	if err != nil {
		return nil, Error.New("file=%s: %w", path, err)
	}
	return file, nil
}

func (l *Lists) read(path string, section *ini.Section) error {
	name := section.Name()
	switch {
	case name == customersSection:
		for _, key := range section.Keys() {
			l.Customers = append(l.Customers, controlapi.Subscription{Customer: key.Name(), Plan: key.String()})
		}
		return nil
	case strings.HasPrefix(name, planPrefix):
		plan, err := readPlan(path, section)
		l.Plans = append(l.Plans, plan)
		return err
	case name == ini.DefaultSection && len(section.Keys()) == 0:
		return nil
	default:
		return Error.New("file=%s section=%s: unknown section", path, name)
	}
}

// planKey parses and formats one key of a plan section.
type planKey struct {
	name   string
	parse  func(text string) error
	format func() string
}

// planKeys returns the keys of a plan section, bound to the fields of p.
func planKeys(p *controlapi.Plan) []planKey {
	return []planKey{
		{"services", func(s string) error { p.Services = splitList(s); return nil }, func() string { return strings.Join(p.Services, ", ") }},
		{"requests_per_second", parseFloat(&p.RequestsPerSecond), func() string { return strconv.FormatFloat(p.RequestsPerSecond, 'f', -1, 64) }},
		{"concurrency", parseWhole(&p.Concurrency), func() string { return strconv.Itoa(p.Concurrency) }},
		{"burst", parseWhole(&p.Burst), func() string { return strconv.Itoa(p.Burst) }},
		{"priority", parseWhole(&p.Priority), func() string { return strconv.Itoa(p.Priority) }},
		{"cpu_milli", parseWhole(&p.CPUMilli), func() string { return strconv.FormatInt(p.CPUMilli, 10) }},
		{"memory_mib", parseWhole(&p.MemoryMiB), func() string { return strconv.FormatInt(p.MemoryMiB, 10) }},
		{"accelerators", parseWhole(&p.Accelerators), func() string { return strconv.FormatInt(p.Accelerators, 10) }},
		{"tasks", parseWhole(&p.Tasks), func() string { return strconv.Itoa(p.Tasks) }},
	}
}

// readPlan reads a plan section. Every limit must be stated, because a missing one
// would be read as 0 without an error.
func readPlan(path string, section *ini.Section) (controlapi.Plan, error) {
	p := controlapi.Plan{Name: strings.TrimPrefix(section.Name(), planPrefix)}
	known := map[string]bool{}
	for _, l := range planKeys(&p) {
		known[l.name] = true
		if !section.HasKey(l.name) {
			return p, Error.New("file=%s section=%s key=%s: missing", path, section.Name(), l.name)
		}
		if err := l.parse(section.Key(l.name).String()); err != nil {
			return p, Error.New("file=%s section=%s key=%s: %w", path, section.Name(), l.name, err)
		}
	}
	for _, key := range section.Keys() {
		if !known[key.Name()] {
			return p, Error.New("file=%s section=%s key=%s: unknown key", path, section.Name(), key.Name())
		}
	}
	return p, nil
}

// validate reports invalid names and customers whose plan does not exist.
func (l *Lists) validate(path string) error {
	plans := map[string]bool{}
	for _, p := range l.Plans {
		if !validName(p.Name) {
			return Error.New("file=%s section=plan %s: a name must be 1..%d characters of A-Z a-z 0-9 . _ -", path, p.Name, maxNameLength)
		}
		plans[p.Name] = true
	}
	for _, c := range l.Customers {
		if !validName(c.Customer) {
			return Error.New("file=%s section=customers key=%s: a name must be 1..%d characters of A-Z a-z 0-9 . _ -", path, c.Customer, maxNameLength)
		}
		if !plans[c.Plan] {
			return Error.New("file=%s section=customers key=%s: no section [plan %s]", path, c.Customer, c.Plan)
		}
	}
	return nil
}

// Write writes the lists in the format that Load reads. It sorts the slices by
// name.
func Write(w io.Writer, customers []controlapi.Subscription, plans []controlapi.Plan) error {
	var b strings.Builder
	b.WriteString("# Plans that customers have bought: customer = plan.\n[customers]\n")
	sort.Slice(customers, func(i, j int) bool { return customers[i].Customer < customers[j].Customer })
	for _, c := range customers {
		fmt.Fprintf(&b, "%s = %s\n", c.Customer, c.Plan)
	}
	sort.Slice(plans, func(i, j int) bool { return plans[i].Name < plans[j].Name })
	for i := range plans {
		fmt.Fprintf(&b, "\n[plan %s]\n", plans[i].Name)
		for _, l := range planKeys(&plans[i]) {
			fmt.Fprintf(&b, "%s = %s\n", l.name, l.format())
		}
	}
	_, err := io.WriteString(w, b.String())
	return Error.Wrap(err)
}

func validName(s string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}
	for _, r := range s {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !letter && !strings.ContainsRune("._-", r) {
			return false
		}
	}
	return true
}

func parseWhole[T int | int64](field *T) func(string) error {
	return func(s string) error {
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil || n < 0 {
			return errs.New("%q is not a non-negative integer", s)
		}
		*field = T(n)
		return nil
	}
}

func parseFloat(field *float64) func(string) error {
	return func(s string) error {
		f, err := strconv.ParseFloat(s, 64)
		if err != nil || !(f >= 0 && f <= 1e9) {
			return errs.New("%q is not a number between 0 and 1e9", s)
		}
		*field = f
		return nil
	}
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
