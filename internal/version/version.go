// Package version holds the version of the programs.
package version

import "runtime/debug"

// version is set at link time for releases.
var version = ""

// String returns the release version, or the module's version of this build.
func String() string {
	if version != "" {
		return version
	}
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "unknown"
}
