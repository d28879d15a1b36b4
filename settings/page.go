package settings

import (
	"fmt"
	"strings"
)

const pageHeader = `# Settings

A process reads its settings from one INI file: ` + "`ibispierd -config FILE`" + `. ` + "`ibispierd -config FILE -check`" + ` checks the
file, prints the effective settings and starts nothing.

* An unknown section or key, an invalid or out-of-range value, or a missing file ends the process with exit code 2
  and one line that names the file, the section and the key. Nothing is started.
* Addresses are ` + "`ip:port`" + `; host names are rejected, because processes do not depend on a name service.
* Durations have a unit, such as ` + "`500ms`" + ` or ` + "`3s`" + `. Lists are separated by commas.
* A settings file must give ` + "`[daemon] id`, `roles` and `zone`" + `. An agent also needs ` + "`[cluster] entries`" + `, and a control
  member must be named in ` + "`[cluster] control`" + `.

This page is generated from the code: ` + "`go test ./settings -run SettingsPage -update`" + `.
`

// Page returns the content of docs/settings.md.
func Page() string {
	var b strings.Builder
	b.WriteString(pageHeader)
	section := ""
	for _, k := range Keys(new(Settings)) {
		if k.Section != section {
			section = k.Section
			fmt.Fprintf(&b, "\n## [%s]\n\n| key | unit | default | range | meaning |\n|---|---|---|---|---|\n", section)
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", k.Name, orDash(k.Unit), codeOrDash(k.Default), k.Range(), k.Description)
	}
	return b.String()
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func codeOrDash(s string) string {
	if s == "" {
		return "-"
	}
	return "`" + s + "`"
}
