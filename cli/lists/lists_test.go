package lists

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/ibispier/ibispier/controlapi"
)

const valid = `[customers]
desk = gold

[plan gold]
services = price-check, quote-check
requests_per_second = 500
concurrency = 64
burst = 100
priority = 10
cpu_milli = 16000
memory_mib = 32768
accelerators = 0
tasks = 20
`

func load(t *testing.T, text string) (*Lists, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "lists.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(path)
}

// Guards against lists that change when they are written and loaded again, as when
// an operator edits them.
func TestWriteAndLoadAreInverse(t *testing.T) {
	want := &Lists{
		Customers: []controlapi.Subscription{{Customer: "desk", Plan: "gold"}},
		Plans: []controlapi.Plan{{
			Name: "gold", Services: []string{"price-check", "quote-check"}, RequestsPerSecond: 0.5, Concurrency: 64,
			Burst: 100, Priority: 10, CPUMilli: 16000, MemoryMiB: 32768, Accelerators: 2, Tasks: 20,
		}},
	}
	var b bytes.Buffer
	if err := Write(&b, want.Customers, want.Plans); err != nil {
		t.Fatal(err)
	}
	got, err := load(t, b.String())
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, error %v", got, err)
	}
}

// Guards against invalid lists that load without an error, and against errors that
// do not name the section and the key.
func TestMistakesNameSectionAndKey(t *testing.T) {
	tests := []struct{ old, new, want string }{
		{"tasks = 20\n", "", "section=plan gold key=tasks"},
		{"burst = 100", "burst = many", "section=plan gold key=burst"},
		{"burst = 100", "burst = -1", "section=plan gold key=burst"},
		{"requests_per_second = 500", "requests_per_second = NaN", "key=requests_per_second"},
		{"burst = 100", "burst = 100\nspeed = 3", "key=speed: unknown key"},
		{"[customers]", "[clients]", "section=clients: unknown section"},
		{"desk = gold", "desk = silver", "key=desk: no section [plan silver]"},
		{"desk = gold", "the desk = gold", "key=the desk"},
	}
	for _, test := range tests {
		_, err := load(t, strings.Replace(valid, test.old, test.new, 1))
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%q: error %v, want %q", test.new, err, test.want)
		}
	}
	if _, err := load(t, valid); err != nil {
		t.Error(err)
	}
}

// Guards against example lists that do not load.
func TestExamplesLoad(t *testing.T) {
	paths, err := filepath.Glob("../../examples/*/lists.ini")
	if err != nil || len(paths) < 3 {
		t.Fatalf("examples %v, error %v", paths, err)
	}
	for _, path := range paths {
		if _, err := Load(path); err != nil {
			t.Error(err)
		}
	}
}
