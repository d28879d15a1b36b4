package plan

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"slices"
	"sort"

	"github.com/ibispier/ibispier/controlapi"
)

// apply returns the configuration after a change. The result shares no slice or
// map that a later change modifies.
func apply(c controlapi.Config, change controlapi.Change) controlapi.Config {
	next := c
	next.Revision++
	switch change.Kind {
	case controlapi.ChangeLists:
		next.Customers, next.Plans = change.Customers, change.Plans
	case controlapi.ChangeOwners:
		next.Owners = change.Owners
	case controlapi.ChangeZoneOut:
		if !slices.Contains(c.ZonesOut, change.Zone) {
			next.ZonesOut = append(slices.Clone(c.ZonesOut), change.Zone)
			sort.Strings(next.ZonesOut)
		}
	case controlapi.ChangeZoneIn:
		next.ZonesOut = slices.DeleteFunc(slices.Clone(c.ZonesOut), func(z string) bool { return z == change.Zone })
	}
	return next
}

// checkChange refuses an invalid change.
func checkChange(c controlapi.Change) error {
	switch c.Kind {
	case controlapi.ChangeLists:
		return checkLists(c.Customers, c.Plans)
	case controlapi.ChangeZoneOut, controlapi.ChangeZoneIn:
		if c.Zone == "" {
			return refuse(controlapi.ReasonBadRequest, "the change names no zone")
		}
		return nil
	case controlapi.ChangeOwners:
		return checkOwners(c.Owners)
	default:
		return refuse(controlapi.ReasonBadRequest, "unknown kind of change %q", c.Kind)
	}
}

// Limits of the lists, which must fit into one message.
const (
	maxCustomers = 20_000
	maxPlans     = 1000
)

func checkLists(customers []controlapi.Subscription, plans []controlapi.Plan) error {
	if len(customers) > maxCustomers || len(plans) > maxPlans {
		return refuse("too_large", "at most %d customers and %d plans are taken", maxCustomers, maxPlans)
	}
	named := map[string]bool{}
	for _, p := range plans {
		if err := checkPlan(p); err != nil {
			return err
		}
		if named[p.Name] {
			return refuse(controlapi.ReasonBadRequest, "plan %q is listed twice", p.Name)
		}
		named[p.Name] = true
	}
	seen := map[string]bool{}
	for _, s := range customers {
		switch {
		case s.Customer == "":
			return refuse(controlapi.ReasonBadRequest, "a customer has no name")
		case seen[s.Customer]:
			return refuse(controlapi.ReasonBadRequest, "customer %q is listed twice", s.Customer)
		case !named[s.Plan]:
			return refuse(controlapi.ReasonBadRequest, "customer %q has plan %q, which is not listed", s.Customer, s.Plan)
		}
		seen[s.Customer] = true
	}
	return nil
}

func checkPlan(p controlapi.Plan) error {
	switch {
	case p.Name == "":
		return refuse(controlapi.ReasonBadRequest, "a plan has no name")
	case !(p.RequestsPerSecond >= 0) || p.RequestsPerSecond > 1e9:
		return refuse(controlapi.ReasonBadRequest, "plan %q has a request rate outside 0..1e9", p.Name)
	case p.Concurrency < 0 || p.Burst < 0 || p.Tasks < 0 || p.CPUMilli < 0 || p.MemoryMiB < 0 || p.Accelerators < 0:
		return refuse(controlapi.ReasonBadRequest, "plan %q has a negative limit", p.Name)
	}
	return nil
}

// checkOwners refuses keys that would let one person sign twice, and fewer
// owners than the required signatures.
func checkOwners(owners map[string]string) error {
	if len(owners) < RequiredSignatures {
		return refuse(controlapi.ReasonBadRequest, "%d owners are needed, %d are given", RequiredSignatures, len(owners))
	}
	ownerOfKey := map[string]string{}
	for _, name := range sortedKeys(owners) {
		key, err := base64.StdEncoding.DecodeString(owners[name])
		if name == "" || err != nil || len(key) != ed25519.PublicKeySize {
			return refuse(controlapi.ReasonBadRequest, "owner %q has no Ed25519 public key", name)
		}
		if other, taken := ownerOfKey[string(key)]; taken {
			return refuse(controlapi.ReasonBadRequest, "owners %q and %q have the same key", other, name)
		}
		ownerOfKey[string(key)] = name
	}
	return nil
}

// Diff describes the effect of a change on a configuration, one line for each
// difference.
func Diff(c controlapi.Config, change controlapi.Change) []string {
	switch change.Kind {
	case controlapi.ChangeLists:
		lines := diffMaps("customer", customerPlans(c.Customers), customerPlans(change.Customers))
		return append(lines, diffMaps("plan", planDescriptions(c.Plans), planDescriptions(change.Plans))...)
	case controlapi.ChangeOwners:
		return diffMaps("owner", c.Owners, change.Owners)
	case controlapi.ChangeZoneOut, controlapi.ChangeZoneIn:
		return diffZone(slices.Contains(c.ZonesOut, change.Zone), change)
	default:
		return nil
	}
}

func diffZone(out bool, change controlapi.Change) []string {
	switch {
	case change.Kind == controlapi.ChangeZoneOut && !out:
		return []string{"~ zone " + change.Zone + ": in service -> out of service"}
	case change.Kind == controlapi.ChangeZoneIn && out:
		return []string{"~ zone " + change.Zone + ": out of service -> in service"}
	default:
		return nil
	}
}

func customerPlans(list []controlapi.Subscription) map[string]string {
	m := make(map[string]string, len(list))
	for _, s := range list {
		m[s.Customer] = "plan " + s.Plan
	}
	return m
}

func planDescriptions(list []controlapi.Plan) map[string]string {
	m := make(map[string]string, len(list))
	for _, p := range list {
		m[p.Name] = fmt.Sprintf("services=%v rps=%g concurrency=%d burst=%d priority=%d cpu_milli=%d memory_mib=%d accelerators=%d tasks=%d",
			p.Services, p.RequestsPerSecond, p.Concurrency, p.Burst, p.Priority, p.CPUMilli, p.MemoryMiB, p.Accelerators, p.Tasks)
	}
	return m
}

func diffMaps(noun string, before, after map[string]string) []string {
	var lines []string
	for _, name := range sortedKeys(before) {
		if text, kept := after[name]; !kept {
			lines = append(lines, fmt.Sprintf("- %s %s: %s", noun, name, before[name]))
		} else if text != before[name] {
			lines = append(lines, fmt.Sprintf("~ %s %s: %s -> %s", noun, name, before[name], text))
		}
	}
	for _, name := range sortedKeys(after) {
		if _, old := before[name]; !old {
			lines = append(lines, fmt.Sprintf("+ %s %s: %s", noun, name, after[name]))
		}
	}
	return lines
}

func sortedKeys(m map[string]string) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
