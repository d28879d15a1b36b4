package kalman

import (
	"math"
	"testing"
)

// Guards against a wrong gain, and against a measured sum that makes each of
// its terms count as known.
func TestUpdate(t *testing.T) {
	state, covariance := []float64{0, 0}, [][]float64{{4, 0}, {0, 4}}
	Update(state, covariance, []float64{1, 1}, 4, 8)
	// The prior variance of the sum equals that of the measurement, 8, so the
	// sum moves half of the way.
	if state[0] != 1 || state[1] != 1 {
		t.Errorf("state %v, want each entry to take a quarter of 4", state)
	}
	if covariance[0][0] != 3 || covariance[0][1] != -1 || covariance[1][0] != -1 {
		t.Errorf("covariance %v", covariance)
	}
	for range 1000 {
		Update(state, covariance, []float64{1, 1}, 4, 0.1)
	}
	if sum := state[0] + state[1]; math.Abs(sum-4) > 0.01 || covariance[0][0] < 1.9 {
		t.Errorf("sum %.2f, variance of one entry %.2f, want 4 and 2", sum, covariance[0][0])
	}
}
