//go:build race

package permitter

// withRaceDetector reports whether the tests run with the race detector.
const withRaceDetector = true
