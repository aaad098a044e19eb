// Command entry is the daemon of an entry VM.
package main

import (
	"os"

	"waxwing.example/croft/daemon"
	"waxwing.example/croft/platform"
)

func main() {
	if os.Getenv(platform.SettingsVariable) != "" {
		os.Exit(platform.Main(os.Stdout, os.Stderr))
	}
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr))
}
