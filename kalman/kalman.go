// Package kalman has the measurement step of a Kalman filter.
package kalman

// Update corrects a state and its covariance by a measurement y = x . state with
// the given variance.
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
