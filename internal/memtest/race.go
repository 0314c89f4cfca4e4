//go:build race

package memtest

// Factor is how much more memory a process takes under the race detector; its documentation
// says 5 to 10 times.
const Factor = 5
