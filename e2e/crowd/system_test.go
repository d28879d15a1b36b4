package crowd

import (
	"net/http"
	"testing"

	"github.com/ibispier/ibispier/internal/testproc"
)

const (
	host     = "crowd.example"
	prefix   = "/queue/"
	manifest = `{"version":1,"routes":[{"name":"queue","hostname":"crowd.example","pathPrefix":"/queue/","kind":"non_idempotent",` +
		`"timeoutMs":3000,"sloMs":1000,"priority":0,"service":"runners","maxAttempts":2,"stretch":2}],` +
		`"services":[{"name":"runners","admissionCheck":true}],` +
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
	heartbeat = `{"service":"runners","address":"127.0.0.1:1","zone":"zone-a","slots":8,"state":"ready",` +
		`"capacity":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a","r1-3"],"sequence":4}`
	submission = `{"spec":"x","steps":[{"count":1,"cpu":500,"memMb":256,"estimateMs":900}]}`
)

// listener is one address of a process under test. The crowd posts to path there.
type listener struct {
	*process
	address, path, host string
	maxBody             int // largest body inside the limits of the pages
	maxHeader           int // header bytes that the server reads at most
	ordinary            ordinary
	ready, admin, links string // further addresses of the process, where it has them
}

// system starts the processes of one listener, the one under test with that many
// descriptors.
type system func(t *testing.T, descriptors int) listener

// startOperators starts a control member, whose operators' address is under test.
func startOperators(t *testing.T, descriptors int) listener {
	t.Helper()
	a := testproc.FreeAddresses(t, 3)
	p := startProcess(t, "control-1", descriptors, a, "roles = control", "data = "+t.TempDir(),
		"[cluster]", "control = control-1@"+a[0], "[control]", "listen = "+a[0], "[admin]", "listen = "+a[1],
		"[jobs]", "enabled = true", "bootstrap = true", "tolerated = 0", "[platform]", "control = "+a[2])
	put := ordinary{method: http.MethodPost, url: "http://" + a[2] + "/config/put", body: manifest, answers: statusOK}
	put.await(t, "control starts")
	return listener{
		process: p, address: a[2], path: "/config/put", host: a[2], maxBody: 4 << 20, maxHeader: 1 << 20, ordinary: put,
		links: a[0],
	}
}

// startCallers starts an entry instance, whose callers' address is under test, and a
// control member behind it.
func startCallers(t *testing.T, descriptors int) listener {
	t.Helper()
	return startEntry(t, descriptors, startOperators(t, manyDescriptors).links)
}

// startEntry starts an entry instance that is linked to a control member.
func startEntry(t *testing.T, descriptors int, control string) listener {
	t.Helper()
	a := testproc.FreeAddresses(t, 3)
	p := startProcess(t, "entry-1", descriptors, a, "roles = entry", "[cluster]", "control = control-1@"+control,
		"[admin]", "listen = "+a[0], "[jobs]", "enabled = true", "[platform]", "front = "+a[1], "ready = "+a[2])
	submit := ordinary{
		method: http.MethodPost, url: "http://" + a[1] + prefix + "5c0e7a21d94b36f8", host: host, body: submission, answers: statusOK,
	}
	submit.await(t, "entry starts")
	return listener{
		process: p, address: a[1], path: prefix + "00000000000000ff", host: host, maxBody: 256 << 10, maxHeader: 1 << 20, ordinary: submit,
		ready: a[2], admin: a[0],
	}
}

// startSeveralRoles starts one process that is an entry instance and a control member. It
// returns its callers' address and its operators' address.
func startSeveralRoles(t *testing.T, descriptors int) (callers, operators listener) {
	t.Helper()
	a := testproc.FreeAddresses(t, 5)
	p := startProcess(t, "control-1", descriptors, a, "roles = entry, control", "data = "+t.TempDir(),
		"[cluster]", "control = control-1@"+a[0], "[control]", "listen = "+a[0], "[admin]", "listen = "+a[1],
		"[jobs]", "enabled = true", "bootstrap = true", "tolerated = 0",
		"[platform]", "control = "+a[2], "front = "+a[3], "ready = "+a[4])
	put := ordinary{method: http.MethodPost, url: "http://" + a[2] + "/config/put", body: manifest, answers: statusOK}
	put.await(t, "control starts")
	submit := ordinary{
		method: http.MethodPost, url: "http://" + a[3] + prefix + "5c0e7a21d94b36f8", host: host, body: submission, answers: statusOK,
	}
	submit.await(t, "entry starts")
	operators = listener{process: p, address: a[2], path: "/config/put", host: a[2], maxBody: 4 << 20, ordinary: put}
	callers = listener{process: p, address: a[3], path: prefix + "00000000000000ff", host: host, maxBody: 256 << 10, ordinary: submit}
	return callers, operators
}

// startAnnouncements starts an agent, whose address for its target is under test.
func startAnnouncements(t *testing.T, descriptors int) listener {
	t.Helper()
	a := testproc.FreeAddresses(t, 4)
	p := startProcess(t, "agent-1", descriptors, a[:2], "roles = agent", "[cluster]", "control = control-1@"+a[3],
		"[admin]", "listen = "+a[0], "[jobs]", "enabled = true", "[platform]", "control = "+a[1], "target = "+a[2])
	const path = "/instances/i-7f3a91c2/heartbeat"
	announce := ordinary{method: http.MethodPost, url: "http://" + a[1] + path, body: heartbeat, answers: statusOK}
	announce.await(t, "agent starts")
	return listener{
		process: p, address: a[1], path: path, host: a[1], maxBody: 4 << 20, maxHeader: 1 << 20, ordinary: announce,
	}
}

// startProductCallers starts an entry instance without the platform, whose callers'
// address is under test. It has no targets, and says so to an ordinary request.
func startProductCallers(t *testing.T, descriptors int) listener {
	t.Helper()
	a := testproc.FreeAddresses(t, 3)
	p := startProcess(t, "entry-1", descriptors, a, "roles = entry", "[admin]", "listen = "+a[0],
		"[entry]", "listen = "+a[1], "agent_listen = "+a[2], "standalone = true")
	const path = "/v1/services/price-check/quote"
	get := ordinary{method: http.MethodGet, url: "http://" + a[1] + path, answers: func(r *http.Response) bool {
		reason := r.Header.Get("Ibispier-Reason")
		return reason == "no_target" || reason == "unknown_service" || reason == "deadline"
	}}
	get.await(t, "entry starts")
	return listener{
		process: p, address: a[1], path: path, host: a[1], maxBody: 1 << 20, maxHeader: 64 << 10, ordinary: get,
		admin: a[0], links: a[2],
	}
}
