package e2e

import (
	"os"
	"testing"

	"github.com/ibispier/ibispier/internal/testcluster"
)

func TestMain(m *testing.M) {
	code := m.Run()
	testcluster.RemoveBinaries()
	os.Exit(code)
}

const (
	customer = "veilinghal"
	service  = "price-check"
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

func start(t *testing.T, o testcluster.Options) *testcluster.Cluster {
	t.Helper()
	if testing.Short() {
		t.Skip("starts many processes")
	}
	o.Zones, o.Service = zones, service
	c := testcluster.Start(t, o)
	c.ApplyChange("lists", testcluster.UnlimitedPlanChange(customer))
	return c
}
