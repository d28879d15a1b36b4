package settings

import (
	"maps"
	"strings"
	"testing"
)

// Guards against weights that are misread: shares that are on by default, a queue with a
// weight that nobody set, and a mistake that turns the shares off.
func TestQueueShares(t *testing.T) {
	if Default().Jobs.QueueShares != nil {
		t.Error("the shares are on by default")
	}
	for text, want := range map[string]map[string]float64{
		"equal": {}, " equal , /a/=2, h.example/b=c/ = 0.5": {"/a/": 2, "h.example/b=c/": 0.5},
	} {
		s, err := Parse("x.ini", []byte(validSettings+"[jobs]\nqueue_shares = "+text+"\n"))
		if err != nil || s.Jobs.QueueShares == nil || !maps.Equal(s.Jobs.QueueShares.Weights, want) {
			t.Errorf("%q: shares %v, error %v, want %v", text, s, err, want)
		}
	}
	for text, want := range map[string]string{
		"/a/=2":              "does not begin with equal",
		"equal, a=2":         "is not [host]/prefix=weight",
		"equal, /a/":         "is not [host]/prefix=weight",
		"equal, /a/=0":       "is not a number in 0.01..100",
		"equal, /a/=NaN":     "is not a number in 0.01..100",
		"equal, /a/=1,/a/=2": "listed twice",
	} {
		_, err := Parse("x.ini", []byte(validSettings+"[jobs]\nqueue_shares = "+text+"\n"))
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "key=queue_shares") {
			t.Errorf("%q: error %v, want %q", text, err, want)
		}
	}
}
