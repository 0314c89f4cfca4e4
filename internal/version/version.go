// Package version contains the version of the release that a binary was built
// from.
package version

// Version is set by the linker in release builds; it is "dev" in other builds.
var Version = "dev"
