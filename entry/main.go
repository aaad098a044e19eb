// Command entry runs an entry. If the platform starts it, which sets the environment variable
// platform.SettingsVariable, it runs as package platform implements it, otherwise as package daemon does.
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
