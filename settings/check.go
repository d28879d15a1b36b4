package settings

import (
	"fmt"
	"io"
)

// check reports settings that are missing or contradict each other. Each setting
// has already been checked by itself.
func (s *Settings) check(path string) error {
	missing := func(section, key, why string) error {
		return Error.New("file=%s section=%s key=%s: missing: %s", path, section, key, why)
	}
	switch {
	case s.Daemon.ID == "":
		return missing("daemon", "id", "every process needs a name")
	case len(s.Daemon.Roles) == 0:
		return missing("daemon", "roles", "a process needs a role")
	case s.Daemon.Zone == "":
		return missing("daemon", "zone", "every process is in an availability zone")
	case s.Jobs.Enabled && s.HasRole(RoleEntry) && (s.Platform.CallerListen == "" || s.Platform.ReadinessListen == ""):
		return missing("platform", "front or ready", "an entry instance serves callers")
	case s.Jobs.Enabled && s.HasRole(RoleControl) && s.Platform.ControlListen == "":
		return missing("platform", "control", "a control member serves operators")
	case s.Jobs.Enabled && s.HasRole(RoleAgent) && (s.Platform.ControlListen == "" || s.Platform.TargetAddress == ""):
		return missing("platform", "control or target", "an agent serves a target")
	case !s.Jobs.Enabled && s.HasRole(RoleAgent) && len(s.Cluster.Entries) == 0:
		return missing("cluster", "entries", "an agent needs the addresses of the entry instances")
	case s.Jobs.Copies && !s.Jobs.Enabled:
		return missing("jobs", "enabled", "copies are part of jobs")
	case s.HasRole(RoleAgent) && s.Agent.TargetURL != "" && s.Agent.Service == "":
		return missing("agent", "service", "a target serves a service")
	case s.Jobs.RefuseHopeless && !(s.Jobs.Enabled && s.HasRole(RoleControl)):
		return Error.New("file=%s section=jobs key=refuse_hopeless: only control members with jobs.enabled refuse submissions", path)
	case s.Jobs.RefuseHopeless && (s.Jobs.PostponeLarge || s.Jobs.QueueShares != nil):
		// The forecast of a refusal follows the order of deadlines.
		return Error.New("file=%s section=jobs key=refuse_hopeless: excludes postpone_large and queue_shares", path)
	}
	return s.checkMembers(path)
}

func (s *Settings) checkMembers(path string) error {
	seen := map[string]bool{}
	for _, m := range s.Cluster.Control {
		if seen[m.ID] {
			return Error.New("file=%s section=cluster key=control: %q is listed twice", path, m.ID)
		}
		seen[m.ID] = true
	}
	if s.HasRole(RoleControl) && !seen[s.Daemon.ID] && len(s.Cluster.Seeds) == 0 {
		return Error.New("file=%s section=cluster key=control: %q has the role control but is not listed", path, s.Daemon.ID)
	}
	return nil
}

// Write writes the effective settings, including defaults, as a settings file.
func (s *Settings) Write(w io.Writer) error {
	section := ""
	for _, k := range Keys(s) {
		if k.Section != section {
			if section != "" {
				fmt.Fprintln(w)
			}
			section = k.Section
			fmt.Fprintf(w, "[%s]\n", section)
		}
		if _, err := fmt.Fprintf(w, "%s = %s\n", k.Name, s.texts[k.fullName()]); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// Diff returns the names of the settings that differ between a and b.
func Diff(a, b *Settings) []string {
	var names []string
	for _, k := range Keys(b) {
		if a.texts[k.fullName()] != b.texts[k.fullName()] {
			names = append(names, k.fullName())
		}
	}
	return names
}
