package plan

import (
	"sort"

	"github.com/ibispier/ibispier/controlapi"
)

// AllServices in the services of a plan stands for every service.
const AllServices = "*"

// ReasonOvercommitted refuses lists that promise more than there is.
const ReasonOvercommitted = "over_promise"

// Offer is what the announced targets and workers have.
type Offer struct {
	Slots   map[string]int // by service
	Workers controlapi.Resources
}

// CheckOvercommit refuses lists that promise more than is offered: for each
// service, the concurrency of all customers that may call it against the slots
// of its targets, and the task resources of all customers against the workers.
// Every customer counts with its whole concurrency for each service it may
// call, because it may use all of it there.
func CheckOvercommit(customers []controlapi.Subscription, plans []controlapi.Plan, offer Offer) error {
	byName := make(map[string]controlapi.Plan, len(plans))
	for _, p := range plans {
		byName[p.Name] = p
	}
	committed, slots := commitmentsOf(customers, byName, offer)
	for _, service := range sortedServices(slots) {
		if slots[service] > offer.Slots[service] {
			return refuse(ReasonOvercommitted, "service %q: %d requests at once are promised, the targets have %d slots",
				service, slots[service], offer.Slots[service])
		}
	}
	return checkResources(committed, offer.Workers)
}

func commitmentsOf(customers []controlapi.Subscription, plans map[string]controlapi.Plan, offer Offer) (controlapi.Resources, map[string]int) {
	var committed controlapi.Resources
	slots := map[string]int{}
	for _, s := range customers {
		p := plans[s.Plan]
		committed.CPUMilli += p.CPUMilli
		committed.MemoryMiB += p.MemoryMiB
		committed.Accelerators += p.Accelerators
		for _, service := range servicesOf(p, offer) {
			slots[service] += p.Concurrency
		}
	}
	return committed, slots
}

// servicesOf returns the services that count for a plan. A plan for all services
// without any target promises slots of a service that does not exist.
func servicesOf(p controlapi.Plan, offer Offer) []string {
	var services []string
	seen := map[string]bool{}
	for _, s := range p.Services {
		if s == AllServices {
			return allServices(offer)
		}
		if !seen[s] {
			services = append(services, s)
		}
		seen[s] = true
	}
	return services
}

func allServices(offer Offer) []string {
	if len(offer.Slots) == 0 {
		return []string{AllServices}
	}
	return sortedServices(offer.Slots)
}

func sortedServices(m map[string]int) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func checkResources(committed, available controlapi.Resources) error {
	switch {
	case committed.CPUMilli > available.CPUMilli:
		return refuse(ReasonOvercommitted, "%d millicores are promised to tasks, the workers have %d", committed.CPUMilli, available.CPUMilli)
	case committed.MemoryMiB > available.MemoryMiB:
		return refuse(ReasonOvercommitted, "%d MiB are promised to tasks, the workers have %d", committed.MemoryMiB, available.MemoryMiB)
	case committed.Accelerators > available.Accelerators:
		return refuse(ReasonOvercommitted, "%d accelerators are promised to tasks, the workers have %d", committed.Accelerators, available.Accelerators)
	}
	return nil
}
