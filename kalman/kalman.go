// Package kalman implements the measurement update of a Kalman filter.
package kalman

// Update corrects a state and its covariance by a scalar measurement y of
// x·state with the given variance. Both are modified in place.
func Update(state []float64, covariance [][]float64, x []float64, y, variance float64) {
	gain := make([]float64, len(x))
	innovation := y
	for i, row := range covariance {
		for j, xj := range x {
			gain[i] += row[j] * xj
		}
		innovation -= x[i] * state[i]
		variance += x[i] * gain[i]
	}
	for i, row := range covariance {
		state[i] += gain[i] * innovation / variance
		for j := range row {
			row[j] -= gain[i] * gain[j] / variance
		}
	}
}
