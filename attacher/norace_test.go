//go:build !race

package attacher

// withRaceDetector reports whether the tests run with the race detector.
const withRaceDetector = false
