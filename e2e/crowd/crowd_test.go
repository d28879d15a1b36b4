package crowd

import (
	"testing"
)

// crowd is one kind of unfriendly clients.
type crowd struct {
	name        string
	size        int
	descriptors int
	script      func(listener) script
}

// bodyBytes is what the bodies of a crowd hold together, which is more than the memory
// of the process.
const bodyBytes = 3 * memoryMiB << 20

// crowds returns the crowds for a listener that takes bodies of that many bytes.
func crowds(maxBody int) []crowd {
	bodies := bodyBytes / maxBody
	return []crowd{
		{"whole bodies", bodies, manyDescriptors, func(l listener) script { return shortBody(l, 1) }},
		{"bodies in pieces", bodies, manyDescriptors, func(l listener) script { return shortBody(l, 16) }},
		{"large chunks", bodies, manyDescriptors, func(l listener) script { return chunkedBody(l, 64<<10) }},
		{"small chunks", bodies, manyDescriptors, func(l listener) script { return chunkedBody(l, 16) }},
		{"endless headers", 300, manyDescriptors, endlessHeader},
		{"idle connections", 400, fewDescriptors, idle},
	}
}

// test runs each crowd against a process of its own. It guards against a process that
// grows beyond its memory, runs out of descriptors, or answers nobody any more.
func test(t *testing.T, start system, crowds []crowd) {
	for _, c := range crowds {
		t.Run(c.name, func(t *testing.T) {
			l := start(t, c.descriptors)
			l.checkBounds(t, "before the crowd")
			runCrowd(t, l.address, c.size, c.script(l))
			l.checkAnswers(t)
		})
	}
}

// checkAnswers checks the bounds before and after an ordinary request beside the crowd.
func (l listener) checkAnswers(t *testing.T) {
	t.Helper()
	l.checkBounds(t, "beside the crowd")
	l.ordinary.await(t, "beside the crowd")
	l.settle()
	l.checkBounds(t, "after an ordinary request")
}

// Guards against clients of the platform that end an entry instance.
func TestCallersOfThePlatform(t *testing.T) {
	steps := dense(`{"spec":"x","steps":[`, `{}`, `]}`)
	test(t, startCallers, append(crowds(256<<10), crowd{"dense bodies", 300, manyDescriptors, steps}))
}

// Guards against clients of the operators' address that end a control member.
func TestOperatorsOfThePlatform(t *testing.T) {
	routes := dense(`{"version":2,"services":[],"routes":[`, `{}`, `]}`)
	test(t, startOperators, append(crowds(4<<20), crowd{"dense bodies", 48, manyDescriptors, routes}))
}

// Guards against a target, or another writer on its instance, that ends an agent.
func TestAnnouncementsOfThePlatform(t *testing.T) {
	labels := dense(`{"service":"runners","address":"127.0.0.1:1","zone":"zone-a","state":"ready","capacity":{},"sequence":5,"labels":[`, `""`, `]}`)
	test(t, startAnnouncements, append(crowds(4<<20), crowd{"dense bodies", 48, manyDescriptors, labels}))
}

// Guards against callers of the product's own interface that end an entry instance.
func TestCallersOfTheProduct(t *testing.T) {
	test(t, startProductCallers, crowds(1<<20))
}

// Guards against a crowd at a secondary address, readiness or admin, that takes the
// descriptors which the callers' address needs.
func TestSecondaryAddresses(t *testing.T) {
	for name, address := range map[string]func(listener) string{
		"readiness": func(l listener) string { return l.ready },
		"admin":     func(l listener) string { return l.admin },
	} {
		t.Run(name, func(t *testing.T) {
			l := startCallers(t, fewDescriptors)
			runCrowd(t, address(l), 400, idle(l))
			l.checkAnswers(t)
		})
	}
}

// Guards against a crowd at the operators' interface of the product that ends its process.
func TestOperatorsOfTheProduct(t *testing.T) {
	start := func(t *testing.T, descriptors int) listener {
		l := startProductCallers(t, descriptors)
		l.address, l.host, l.path, l.maxBody = l.admin, l.admin, "/v1/proposals", 4<<20
		return l
	}
	plans := dense(`{"change_id":"c","change":{"plans":[`, `{}`, `]}}`)
	test(t, start, []crowd{crowds(4 << 20)[0], {"dense bodies", 48, manyDescriptors, plans}})
}
