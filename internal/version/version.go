// Package version provides the version of the programs.
package version

import "runtime/debug"

// version is set by the linker for releases.
var version = ""

// String returns the release version, or the module version from the build
// information.
func String() string {
	if version != "" {
		return version
	}
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "unknown"
}
