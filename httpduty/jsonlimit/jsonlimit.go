// Package jsonlimit bounds the number of values in a JSON body. A decoded element takes
// up to a hundred times the bytes of a short one such as 0, so that a body of legal
// size could fill the memory. The package is pure.
package jsonlimit

import "github.com/zeebo/errs"

// Error is the class of all errors of this package.
var Error = errs.Class("jsonlimit")

const (
	// maxDepth bounds the nesting of a body. Those of all interfaces have 5 levels at
	// most.
	maxDepth = 32
	// rowDepth is the depth of the elements of an array that is a member of the body.
	rowDepth = 2
	// emptyArrays is how many arrays of a body may be empty and yet count as a row.
	emptyArrays = 8
)

// Limits bound the elements of the arrays of a body, over all arrays together.
type Limits struct {
	Rows   int // of arrays that are members of the body
	Nested int // of arrays below
}

// Check returns an error if the body exceeds the limits. It does not tell whether the
// body is valid JSON; the decoder does.
func (l Limits) Check(data []byte) error {
	var arrays [maxDepth + 1]bool
	depth, rows, nested := 0, 0, 0
	for i := 0; i < len(data); i++ {
		switch c := data[i]; c {
		case '"':
			i = stringEnd(data, i)
		case '[', '{':
			if depth++; depth > maxDepth {
				return Error.New("step=check: nested deeper than %d levels", maxDepth)
			}
			arrays[depth] = c == '['
		case ']', '}':
			depth = max(depth-1, 0)
		}
		if c := data[i]; (c != ',' && c != '[') || !arrays[depth] {
			continue
		}
		if depth <= rowDepth {
			rows++
		} else {
			nested++
		}
		if rows > l.Rows+emptyArrays || nested > l.Nested {
			return Error.New("step=check: more than %d rows or %d nested elements", l.Rows, l.Nested)
		}
	}
	return nil
}

// stringEnd returns the index of the quote that ends the string that starts at i, or
// the last index.
func stringEnd(data []byte, i int) int {
	for i++; i < len(data) && data[i] != '"'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	return min(i, len(data)-1)
}
