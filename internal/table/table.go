// Package table prints aligned tables.
package table

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Table is a header and the rows below it.
type Table struct {
	header []string
	rows   [][]string
}

// New returns a table with the given column names.
func New(header ...string) *Table { return &Table{header: header} }

// Row adds a row. Empty cells print as a dash, so that columns can be split at
// spaces.
func (t *Table) Row(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		if row[i] = fmt.Sprint(c); row[i] == "" {
			row[i] = "-"
		}
	}
	t.rows = append(t.rows, row)
}

// Print writes the table. A table without rows prints its header only.
func (t *Table) Print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	return tw.Flush()
}
