package configcheck

import (
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/ibispier/ibispier/internal/testseed"
	"github.com/ibispier/ibispier/job"
)

func TestMain(m *testing.M) {
	testseed.Fix()
	os.Exit(m.Run())
}

func soundQueue(name, prefix string) job.Queue {
	return job.Queue{Name: name, Host: "a.example", Prefix: prefix, Service: "s", Attempts: 2, Stretch: 1.5, SlackMillis: 250, TimeoutMillis: 3000}
}

func soundVersion(queues ...job.Queue) Version {
	return Version{
		Config: job.Config{Version: 7, Queues: queues, Services: []job.Service{{Name: "s"}}},
		Limits: &Limits{HeaderBytes: 16384, BodyBytes: 262144, HeaderTimeoutMillis: 3000, IdleTimeoutMillis: 15000},
	}
}

func linesOf(findings []Finding) string {
	var b strings.Builder
	for _, f := range findings {
		b.WriteString(f.String() + "\n")
	}
	return b.String()
}

// Guards against a fault that is not reported, and against one that hides others.
func TestFindings(t *testing.T) {
	for name, test := range map[string]struct {
		change func(v *Version, q *job.Queue) // of a sound version with queue r, which is the last one
		want   []string                       // parts of the findings, one each
	}{
		"sound":            {func(*Version, *job.Queue) {}, nil},
		"several errors":   {func(v *Version, q *job.Queue) { v.Config.Version, q.TimeoutMillis, q.Service = 0, 0, "x" }, []string{"error version: version is missing", `error queue "r": unknown service "x"`, `error queue "r": timeout is 0 ms`}},
		"unused service":   {func(v *Version, q *job.Queue) { v.Config.Services = append(v.Config.Services, job.Service{Name: "t"}) }, []string{`warning service "t": no queue`}},
		"same place":       {func(v *Version, q *job.Queue) { q.Prefix = "/first/" }, []string{`error queue "r": host and prefix belong to queue "first"`}},
		"prefix of id":     {func(v *Version, q *job.Queue) { q.Prefix = "/first/0a" }, []string{`warning queue "first": submissions whose id begins with "0a" match queue "r"`, "does not end with a slash"}},
		"other host":       {func(v *Version, q *job.Queue) { q.Host, q.Prefix = "b.example", "/first/0a" }, []string{"does not end with a slash"}},
		"no leading slash": {func(v *Version, q *job.Queue) { q.Prefix = "r/" }, []string{"does not begin with a slash"}},
		"query in prefix":  {func(v *Version, q *job.Queue) { q.Prefix = "/r?x/" }, []string{"percent-encoded"}},
		"no host":          {func(v *Version, q *job.Queue) { q.Host = "" }, []string{"host is empty"}},
		"upper case":       {func(v *Version, q *job.Queue) { q.Host = "A.example" }, []string{"upper-case"}},
		"port":             {func(v *Version, q *job.Queue) { q.Host = "a.example:80" }, []string{"has a port"}},
		"path in host":     {func(v *Version, q *job.Queue) { q.Host = "a.example/x" }, []string{"characters that a host cannot have"}},
		"same name":        {func(v *Version, q *job.Queue) { q.Name = "first" }, []string{"more than one entry"}},
		"no name":          {func(v *Version, q *job.Queue) { q.Name, q.TimeoutMillis = "", 0 }, []string{"error queue: timeout", "no name"}},
		"no attempts":      {func(v *Version, q *job.Queue) { q.Attempts = 0 }, []string{"attempts is 0"}},
		"stretch below 1":  {func(v *Version, q *job.Queue) { q.Stretch = 0.5 }, []string{"stretch is 0.5"}},
		"priority":         {func(v *Version, q *job.Queue) { q.Priority = -1 }, []string{"priority is -1"}},
		"negative slack":   {func(v *Version, q *job.Queue) { q.SlackMillis = -1 }, []string{"slack is -1 ms"}},
		"slack":            {func(v *Version, q *job.Queue) { q.SlackMillis = 3001 }, []string{"slack of 3001 ms is above"}},
		"advice":           {func(v *Version, q *job.Queue) { q.DecisionMillis = 3001 }, []string{"advice takes 3001 ms"}},
		"limits":           {func(v *Version, q *job.Queue) { *v.Limits = Limits{HeaderBytes: 100, BodyBytes: job.MaxPayloadBytes} }, []string{"body limit", "header limit", "header timeout", "idle timeout"}},
		"limits unread":    {func(v *Version, q *job.Queue) { v.Limits, v.LimitsFault = nil, "x" }, []string{"limits: cannot be read: x"}},
	} {
		v := soundVersion(soundQueue("first", "/first/"), soundQueue("r", "/r/"))
		test.change(&v, &v.Config.Queues[1])
		got := Check(v, nil)
		for i, want := range test.want {
			if len(got) != len(test.want) || !strings.Contains(got[i].String(), want) {
				t.Errorf("%s: want %q as finding %d of %d, got\n%s", name, want, i, len(test.want), linesOf(got))
			}
		}
		if len(test.want) == 0 && len(got) > 0 {
			t.Errorf("%s: got\n%s", name, linesOf(got))
		}
	}
}

// Guards against an entry of one character class that is taken for a cover of all IDs,
// and against a cover that is not noticed.
func TestCoverOfEveryID(t *testing.T) {
	queues := []job.Queue{soundQueue("covered", "/q/")}
	for i := range len(hexDigits) {
		if got := linesOf(Check(soundVersion(queues...), nil)); strings.Contains(got, "cover every id") {
			t.Fatalf("%d of %d digits cover every id", i, len(hexDigits))
		}
		queues = append(queues, soundQueue("q"+hexDigits[i:i+1], "/q/"+hexDigits[i:i+1]))
	}
	if got := linesOf(Check(soundVersion(queues...), nil)); strings.Count(got, `queue "covered": longer prefixes`) != 1 {
		t.Errorf("the cover is not reported:\n%s", got)
	}
}

func drawVersion(t *rapid.T) Version {
	v := soundVersion()
	v.Config.Version = rapid.Uint64Range(0, 3).Draw(t, "version")
	for range rapid.IntRange(0, 4).Draw(t, "queues") {
		q := soundQueue(rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "name"), rapid.SampledFrom([]string{"", "/", "/q", "/q/", "/q/0", "/q/01", "/q/f/"}).Draw(t, "prefix"))
		q.Service = rapid.SampledFrom([]string{"s", "s", "s", "x"}).Draw(t, "service")
		q.TimeoutMillis = rapid.Int64Range(-1, 20).Draw(t, "timeout")
		v.Config.Queues = append(v.Config.Queues, q)
	}
	return v
}

// isRefused restates the rules of an invalid configuration, apart from the code under test.
func isRefused(c *job.Config) bool {
	places := map[string]bool{}
	for _, q := range c.Queues {
		if q.Service != "s" || q.TimeoutMillis < 1 || places[q.Host+q.Prefix] {
			return true
		}
		places[q.Host+q.Prefix] = true
	}
	return c.Version == 0
}

// Guards against errors that differ from what control refuses.
func TestErrorsAreWhatControlRefuses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := drawVersion(t)
		err, count := v.Config.Check(), ErrorCount(Check(v, nil))
		if want := isRefused(&v.Config); (err != nil) != want || (count > 0) != want {
			t.Fatalf("refused %v, want %v, with %d errors: %+v", err, want, count, v.Config)
		}
	})
}

// Guards against a queue that misses submissions without a finding on it.
func TestQueueWithoutFindingGetsItsSubmissions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := drawVersion(t)
		for i := range v.Config.Queues {
			v.Config.Queues[i].Name = string(rune('A' + i))
		}
		id := rapid.StringMatching("[01f][0-9a-fA-F]{15}").Draw(t, "id")
		findings := Check(v, nil)
		for _, q := range v.Config.Queues {
			path := q.Prefix + id
			match, rest := v.Config.Match(q.Host, path)
			reached := match != nil && match.Name == q.Name && rest == id && path[strings.LastIndexByte(path, '/')+1:] == id
			found := slices.ContainsFunc(findings, func(f Finding) bool { return f.Kind == KindQueue && f.Name == q.Name })
			if !reached && !found {
				t.Fatalf("no finding on queue %s, which misses %s: %+v", q.Name, path, v.Config.Queues)
			}
		}
	})
}

// Guards against a version that would have no effect, and against entries that are added
// or removed unnoticed.
func TestChanges(t *testing.T) {
	inForce := soundVersion(soundQueue("a", "/a/"), soundQueue("b", "/b/"))
	next := soundVersion(soundQueue("c", "/c/"), soundQueue("a", "/a/"))
	next.Config.Version, next.Config.Queues[1].TimeoutMillis = 9, 2000
	next.Config.Services = append(next.Config.Services, job.Service{Name: "t", Guards: true})
	want := `warning service "t": no queue names this service
change queue "c": added
change queue "a": timeout ms 3000 -> 2000
change queue "b": removed
change service "t": added
change version: 7 -> 9
`
	if got := linesOf(Check(next, &inForce)); got != want {
		t.Errorf("got\n%swant\n%s", got, want)
	}
	if got := Check(inForce, &next); ErrorCount(got) != 1 || got[0].Kind != KindVersion {
		t.Errorf("an older version: got\n%s", linesOf(got))
	}
	if got := Check(inForce, &inForce); len(got) != 1 {
		t.Errorf("the version in force: got\n%s", linesOf(got))
	}
}

// Guards against a field that is added to the configuration and not compared.
func TestEveryFieldIsCompared(t *testing.T) {
	for i := range reflect.TypeFor[job.Queue]().NumField() {
		v := soundVersion(soundQueue("a", "/a/"))
		changed := soundVersion(soundQueue("a", "/a/"))
		switch f := reflect.ValueOf(&changed.Config.Queues[0]).Elem().Field(i); f.Kind() {
		case reflect.String:
			f.SetString(f.String() + "x")
		case reflect.Float64:
			f.SetFloat(f.Float() + 1)
		default:
			f.SetInt(f.Int() + 1)
		}
		if !slices.ContainsFunc(Check(changed, &v), func(f Finding) bool { return f.Severity == SeverityChange }) {
			t.Errorf("a change of field %s is not reported", reflect.TypeFor[job.Queue]().Field(i).Name)
		}
	}
}
