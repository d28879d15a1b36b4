package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/ibispier/ibispier/cli/keys"
)

// commands lists the subcommands in the order of the overview.
var commands = []command{
	{"status", "", 0, "show zones, targets, leases, revisions and alarms",
		"ibispier status -admin 127.0.0.1:8081", status},

	{"plan list", "", 0, "show the customer and plan lists in force; -ini prints them for editing",
		"ibispier plan list -ini > lists.ini", planList},
	{"plan propose", "FILE", 1, "propose the customer and plan lists in FILE (INI)",
		"ibispier plan propose lists.ini", planPropose},
	{"plan owners", "FILE", 1, "propose the owners' public keys in FILE (INI)",
		"ibispier plan owners owners.ini", planOwners},
	{"plan show", "CHANGE", 1, "show a proposal and its signatures",
		"ibispier plan show 5f0c9a", planShow},
	{"plan approve", "CHANGE", 1, "sign a proposal as an owner",
		"ibispier plan approve 5f0c9a -owner ada -key ada.key", planSign(false)},
	{"plan reject", "CHANGE", 1, "reject a proposal as an owner",
		"ibispier plan reject 5f0c9a -owner ada -key ada.key", planSign(true)},
	{"plan pending", "", 0, "show the open proposals, which still need signatures",
		"ibispier plan pending", planPending},
	{"plan history", "", 0, "show the decided proposals, newest first",
		"ibispier plan history -limit 20", planHistory},

	{"config check", "FILE", 1, "check the manifest in FILE (JSON) before it is sent; -in-force and -from compare it with the version in force",
		"ibispier config check next.json -from 127.0.0.1:8080", configCheck},

	{"zone out", "ZONE", 1, "propose to take a zone out of service; needs two approvals",
		"ibispier zone out nl-west-b", zoneChange("out")},
	{"zone in", "ZONE", 1, "propose to bring a zone back; needs two approvals",
		"ibispier zone in nl-west-b", zoneChange("in")},

	{"key generate", "FILE", 1, "write a new owner key to FILE (mode 0600) and print the public key",
		"ibispier key generate ada.key", keyGenerate},

	{"control members", "", 0, "show the control members",
		"ibispier control members", controlMembers},
	{"control bootstrap", "", 0, "form the quorum of a new deployment; works only once",
		"ibispier control bootstrap", controlBootstrap},
	{"control repair", "ID", 1, "remove a member that lost its disk and admit it again as a learner",
		"ibispier control repair c2", controlRepair},
	{"control admit", "ID", 1, "admit a member as a learner",
		"ibispier control admit c4", membershipCommand("admit")},
	{"control remove", "ID", 1, "remove a member",
		"ibispier control remove c2", membershipCommand("remove")},
	{"control transfer", "ID", 1, "transfer leadership to a member",
		"ibispier control transfer c3", membershipCommand("transfer")},
	{"control snapshot", "", 0, "write a snapshot now",
		"ibispier control snapshot", controlSnapshot},

	{"task submit", "", 0, "submit a batch task or a watcher",
		"ibispier task submit -customer demo -kind batch -cpu-milli 500 -memory-mib 256", taskSubmit},
	{"task status", "TASK", 1, "show a task",
		"ibispier task status 5f0c9a", taskStatus},
	{"task cancel", "TASK", 1, "cancel a task",
		"ibispier task cancel 5f0c9a", taskCancel},
	{"task list", "", 0, "list tasks",
		"ibispier task list -customer demo -state running", taskList},

	{"quarantine list", "", 0, "list the quarantined jobs and workers",
		"ibispier quarantine list", quarantineList},
	{"quarantine release", "KIND NAME", 2, "move a job or a worker from quarantine to probation",
		"ibispier quarantine release worker w7", quarantineRelease},

	{"load", "", 0, "send requests at a fixed rate and report latencies and outcomes",
		"ibispier load -service price-check -customer demo -rate 500 -duration 10s", loadCommand},

	{"version", "", 0, "print the version of this tool",
		"ibispier version", version},
}

func keyGenerate(*flag.FlagSet) action {
	return func(_ context.Context, s *session, args []string) error {
		public, err := keys.Generate(args[0])
		if err != nil {
			return err
		}
		return s.print(map[string]string{"file": args[0], "public_key": public}, func(w io.Writer) error {
			_, err := fmt.Fprintf(w, "%s\n", public)
			return err
		})
	}
}

func version(*flag.FlagSet) action {
	return func(_ context.Context, s *session, _ []string) error {
		v := Version()
		return s.print(v, func(w io.Writer) error {
			_, err := fmt.Fprintf(w, "ibispier %s %s\n", v["version"], v["go"])
			return err
		})
	}
}

// Version returns the module version, the commit and the Go version that the Go
// tool recorded in the binary.
func Version() map[string]string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return map[string]string{"version": "unknown", "go": "unknown"}
	}
	v := info.Main.Version
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			v += " " + setting.Value
		}
	}
	return map[string]string{"version": v, "go": info.GoVersion}
}
