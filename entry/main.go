// Command entry runs an entry: with package platform if the environment variable platform.SettingsVariable is set, as the
// platform does when it starts the program, otherwise with package daemon.
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
