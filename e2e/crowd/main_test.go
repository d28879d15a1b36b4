package crowd

import (
	"fmt"
	"os"
	"testing"

	"github.com/ibispier/ibispier/internal/testproc"
)

// binaries is the folder of the built daemon.
var binaries string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	var err error
	if binaries, err = testproc.Build("ibispierd"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(binaries)
	return m.Run()
}
