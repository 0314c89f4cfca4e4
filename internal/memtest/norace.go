//go:build !race

package memtest

// Factor is how much more memory a process takes under the race detector.
const Factor = 1
