// Package version names the release that a binary was built from.
package version

// Version is set by the linker; "dev" in other builds.
var Version = "dev"
