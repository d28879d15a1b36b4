package routing

import (
	"os"
	"testing"

	"github.com/ibispier/ibispier/internal/testseed"
)

func TestMain(m *testing.M) {
	testseed.Fix()
	os.Exit(m.Run())
}
