package plan

import (
	"sort"

	"github.com/ibispier/ibispier/controlapi"
)

// AllServices in the services of a plan matches every service.
const AllServices = "*"

// ReasonOvercommitted refuses plans that need more capacity than there is.
const ReasonOvercommitted = "over_promise"

// Offer is the capacity announced by the targets and workers.
type Offer struct {
	Slots   map[string]int // by service
	Workers controlapi.Resources
}

// CheckOvercommit refuses lists that commit more capacity than is offered. For
// each service, it compares the concurrency of all customers that may call it
// with the slots of its targets; for tasks, it compares the resources of all
// customers with those of the workers. A customer counts with its full
// concurrency for each service it may call, because it may use all of it there.
func CheckOvercommit(customers []controlapi.Subscription, plans []controlapi.Plan, offer Offer) error {
	byName := make(map[string]controlapi.Plan, len(plans))
	for _, p := range plans {
		byName[p.Name] = p
	}
	committed, slots := commitmentsOf(customers, byName, offer)
	for _, service := range sortedServices(slots) {
		if slots[service] > offer.Slots[service] {
			return refuse(ReasonOvercommitted, "service %q: the plans commit %d concurrent requests, the targets have %d slots",
				service, slots[service], offer.Slots[service])
		}
	}
	return checkResources(committed, offer.Workers)
}

// commitmentsOf sums the task resources of all customers and, by service, their
// concurrency.
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

// servicesOf returns the services that count for a plan. While no targets are
// announced, a plan for all services counts as a commitment on AllServices,
// which has no slots.
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
		return refuse(ReasonOvercommitted, "the plans commit %d millicores to tasks, the workers have %d", committed.CPUMilli, available.CPUMilli)
	case committed.MemoryMiB > available.MemoryMiB:
		return refuse(ReasonOvercommitted, "the plans commit %d MiB to tasks, the workers have %d", committed.MemoryMiB, available.MemoryMiB)
	case committed.Accelerators > available.Accelerators:
		return refuse(ReasonOvercommitted, "the plans commit %d accelerators to tasks, the workers have %d", committed.Accelerators, available.Accelerators)
	}
	return nil
}
