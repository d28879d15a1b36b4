package crowd

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

const (
	// returningMembers are more than a listener holds connections.
	returningMembers = 600
	// returningRounds is how often each member connects.
	returningRounds = 4
)

// testReturning runs crowds whose members come back at once when they are refused, and
// so take the room that the others give up. It guards against a process that holds more
// than its memory together with the bytes that it has not read, and against one that
// answers nobody any more.
func testReturning(t *testing.T, start system) {
	for _, c := range []struct {
		name   string
		script func(listener) script
	}{
		{"whole bodies", func(l listener) script { return shortBody(l, 1) }},
		{"large chunks", func(l listener) script { return chunkedBody(l, 64<<10) }},
		{"tiny chunks", tinyChunks},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := start(t, manyDescriptors)
			l.checkBounds(t, "before the crowd")
			runReturningCrowd(t, l.address, returningMembers, returningRounds, c.script(l))
			l.checkAnswers(t)
		})
	}
}

func TestReturningCallersOfThePlatform(t *testing.T)       { testReturning(t, startCallers) }
func TestReturningOperatorsOfThePlatform(t *testing.T)     { testReturning(t, startOperators) }
func TestReturningAnnouncementsOfThePlatform(t *testing.T) { testReturning(t, startAnnouncements) }
func TestReturningCallersOfTheProduct(t *testing.T)        { testReturning(t, startProductCallers) }

// testUnreadResponses guards against clients that send on and read no response: a
// process that is blocked by its responses reads no requests either, and the kernel
// holds both.
func testUnreadResponses(t *testing.T, start system, path string) {
	l := start(t, manyDescriptors)
	l.checkBounds(t, "before the crowd")
	runCrowd(t, l.address, returningMembers, pipeline(l, path))
	l.checkAnswers(t)
}

func TestUnreadResponsesToCallersOfThePlatform(t *testing.T) {
	testUnreadResponses(t, startCallers, "/nothing")
}

func TestUnreadResponsesToOperatorsOfThePlatform(t *testing.T) {
	testUnreadResponses(t, startOperators, "/nothing")
}

func TestUnreadResponsesToAnnouncementsOfThePlatform(t *testing.T) {
	testUnreadResponses(t, startAnnouncements, "/nothing")
}

func TestUnreadResponsesToCallersOfTheProduct(t *testing.T) {
	testUnreadResponses(t, startProductCallers, "/nothing")
}

// Guards against operators that ask for a large configuration and do not read it, each
// of which has the kernel hold a copy.
func TestUnreadConfigurations(t *testing.T) {
	const manifestBytes = 1 << 20
	testUnreadResponses(t, func(t *testing.T, descriptors int) listener {
		l := startOperators(t, descriptors)
		large := ordinary{
			method: http.MethodPost, url: fmt.Sprintf("http://%s/config/put", l.address), answers: statusOK,
			body: strings.Replace(manifest, `"version":1`, `"version":2,`+strings.Repeat(" ", manifestBytes)+`"note":""`, 1),
		}
		large.await(t, "a large configuration is stored")
		return l
	}, "/config/get")
}

// testSuspended guards against connections that the kernel accepts, and receives for,
// while the process does not run.
func testSuspended(t *testing.T, start system) {
	l := start(t, manyDescriptors)
	l.checkBounds(t, "before the crowd")
	l.suspend(t)
	runCrowd(t, l.address, returningMembers, shortBody(l, 1))
	l.settle()
	l.checkBounds(t, "while suspended")
	l.resume(t)
	l.checkAnswers(t)
}

func TestSuspendedCallersOfThePlatform(t *testing.T)   { testSuspended(t, startCallers) }
func TestSuspendedOperatorsOfThePlatform(t *testing.T) { testSuspended(t, startOperators) }

// testReturningLinks guards against peers that connect to the address for links again
// and again and fill the windows of their streams.
func testReturningLinks(t *testing.T, l listener) {
	l.checkBounds(t, "before the crowd")
	runReturningCrowd(t, l.links, returningMembers, returningRounds, fullStreams())
	l.checkAnswers(t)
}

func TestReturningLinksOfControl(t *testing.T) {
	l := startOperators(t, manyDescriptors)
	l.ordinary = startEntry(t, manyDescriptors, l.links).ordinary
	testReturningLinks(t, l)
}

func TestReturningLinksOfAgents(t *testing.T) {
	testReturningLinks(t, startProductCallers(t, manyDescriptors))
}

// Guards against listeners of one process that may hold more together than its memory.
func TestSeveralRolesInOneProcess(t *testing.T) {
	for _, c := range []struct {
		name   string
		script func(listener) script
	}{
		{"whole bodies", func(l listener) script { return shortBody(l, 1) }},
		{"unread responses", func(l listener) script { return pipeline(l, "/nothing") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			callers, operators := startSeveralRoles(t, manyDescriptors)
			callers.checkBounds(t, "before the crowd")
			runCrowd(t, callers.address, returningMembers, c.script(callers))
			runCrowd(t, operators.address, returningMembers, c.script(operators))
			callers.checkAnswers(t)
			operators.checkAnswers(t)
		})
	}
}

// Guards against limits that refuse a single request inside the limits of the pages.
func TestLargestBodiesAreServed(t *testing.T) {
	for _, c := range []struct {
		name  string
		start system
	}{
		{"callers", startCallers}, {"operators", startOperators}, {"announcements", startAnnouncements},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := c.start(t, manyDescriptors)
			l.ordinary.body += strings.Repeat(" ", l.maxBody-len(l.ordinary.body))
			if !l.ordinary.isAnswered() {
				t.Fatalf("a single request with a body of %d bytes is not answered", l.maxBody)
			}
			l.checkBounds(t, "after the request")
		})
	}
}
